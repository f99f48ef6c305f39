package io.carawaylift.cli;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.Table;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the operators' table file. */
final class TableFile {
    private TableFile() {}

    /** Reads and checks a table; the exception names the file or every bad row. */
    static Table read(String path) {
        try {
            return Table.parse(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new CarawayliftException(ResultCode.NOT_FOUND, "cannot read table file " + path, e);
        }
    }
}
