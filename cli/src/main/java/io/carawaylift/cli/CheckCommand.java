package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.carawaylift.model.InvalidTableException;
import io.carawaylift.model.Table;

/** Validates a table file locally, without calls to the platform. */
@Command(name = "check", description = "Check a table file")
public final class CheckCommand extends OperatorCommand {
    @Required
    @Arguments(title = "file", description = "Table file")
    private String file;

    @Override
    int run() {
        try {
            Table table = TableFile.read(file);
            out().println(file + ": " + table.rows().size() + " rows, no problems");
            return EXIT_OK;
        } catch (InvalidTableException e) {
            e.problems().forEach(problem -> out().println(file + ": " + problem));
            return EXIT_FAILED;
        }
    }
}
