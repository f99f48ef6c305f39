package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.carawaylift.model.Table;

/** Sets the column {@code drain} of one upstream to false. */
@Command(name = "undrain", description = "Send requests to a drained upstream again")
public final class UndrainCommand extends ChangeCommand {
    @Required
    @Arguments(title = "upstream", description = "Name of the upstream")
    private String upstream;

    @Override
    Table change(Table current) {
        return DrainColumn.set(current, upstream, false);
    }
}
