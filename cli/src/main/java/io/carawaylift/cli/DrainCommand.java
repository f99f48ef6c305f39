package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.carawaylift.model.Table;

/** Sets the column {@code drain} of one upstream to true. */
@Command(name = "drain", description = "Drain an upstream: send it no new requests")
public final class DrainCommand extends ChangeCommand {
    @Required
    @Arguments(title = "upstream", description = "Name of the upstream")
    private String upstream;

    @Override
    Table change(Table current) {
        return DrainColumn.set(current, upstream, true);
    }
}
