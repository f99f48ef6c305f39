package io.carawaylift.cli;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.Table;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads table files. */
final class TableFile {
    private TableFile() {}

    /**
     * Reads and validates a table file.
     *
     * @throws CarawayliftException if the file cannot be read or its table is invalid; the message names the file or every
     *     invalid row
     */
    static Table read(String path) {
        try {
            return Table.parse(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new CarawayliftException(ResultCode.NOT_FOUND, "cannot read table file " + path, e);
        }
    }
}
