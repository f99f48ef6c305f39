package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.carawaylift.model.RowChange;
import java.time.Clock;
import java.util.List;
import java.util.Optional;

/** Shows how a table file differs from the accepted table. */
@Command(name = "diff", description = "Show how a table file differs from the accepted table")
public final class DiffCommand extends OperatorCommand {
    @Required
    @Arguments(title = "file", description = "Table file")
    private String file;

    @Override
    int run() {
        Optional<TableStore.Snapshot> accepted = new TableStore(platform(), Clock.systemUTC()).read();
        List<RowChange> changes = RowChange.between(TableStore.rows(accepted), TableFile.read(file));
        changes.forEach(out()::println);
        if (changes.isEmpty()) {
            out().println("no difference");
        }
        return EXIT_OK;
    }
}
