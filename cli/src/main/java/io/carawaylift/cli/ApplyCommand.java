package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.carawaylift.model.Table;

/** Makes a table file the accepted table. */
@Command(name = "apply", description = "Accept a table file")
public final class ApplyCommand extends ChangeCommand {
    @Required
    @Arguments(title = "file", description = "Table file")
    private String file;

    @Override
    Table change(Table current) {
        return TableFile.read(file);
    }
}
