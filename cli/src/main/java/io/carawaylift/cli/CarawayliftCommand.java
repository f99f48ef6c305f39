package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.carawaylift.model.CarawayliftException;
import java.util.concurrent.Callable;

/**
 * Entry point of the command-line tool. The exit status is 0 on success, 1 if the command failed with a result code or
 * found an invalid table, and 2 on a usage error.
 */
@Cli(
        name = "carawaylift",
        description = "Edits the table of weights and limits and shows what is in force",
        defaultCommand = Help.class,
        commands = {
            Help.class,
            CheckCommand.class,
            CheckConfigurationCommand.class,
            DiffCommand.class,
            ApplyCommand.class,
            ShowCommand.class,
            ExportCommand.class,
            HistoryCommand.class,
            DrainCommand.class,
            UndrainCommand.class,
            StatusCommand.class,
            ExplainCommand.class
        })
public final class CarawayliftCommand {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE_ERROR = 2;

    private CarawayliftCommand() {}

    /** Runs the command in {@code args} and exits the JVM with its status. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs the command in {@code args} and returns its exit status; errors are printed to standard error. */
    @SuppressWarnings("SystemOut")
    public static int run(String... args) {
        try {
            return execute(new com.github.rvesse.airline.Cli<Object>(CarawayliftCommand.class).parse(args));
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            return EXIT_USAGE_ERROR;
        } catch (CarawayliftException e) {
            System.err.println("error " + e.getMessage());
            return EXIT_FAILED;
        }
    }

    private static int execute(Object command) {
        if (command instanceof OperatorCommand operatorCommand) {
            return operatorCommand.run();
        }
        try {
            ((Callable<?>) command).call();
            return 0;
        } catch (Exception e) {
            throw new IllegalStateException("printing the help failed", e);
        }
    }
}
