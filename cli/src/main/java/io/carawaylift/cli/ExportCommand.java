package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Command;
import java.time.Clock;

/** Prints the accepted table as a table file. */
@Command(name = "export", description = "Print the accepted table as a table file")
public final class ExportCommand extends OperatorCommand {
    @Override
    int run() {
        out().print(TableStore.rows(new TableStore(platform(), Clock.systemUTC()).read())
                .toToml());
        return EXIT_OK;
    }
}
