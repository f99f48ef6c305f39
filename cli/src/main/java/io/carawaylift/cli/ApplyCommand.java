package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.carawaylift.model.Table;

/** Replaces the accepted table by the contents of a table file. */
@Command(name = "apply", description = "Replace the accepted table by a table file")
public final class ApplyCommand extends ChangeCommand {
    @Required
    @Arguments(title = "file", description = "Table file")
    private String file;

    @Override
    Table change(Table current) {
        return TableFile.read(file);
    }
}
