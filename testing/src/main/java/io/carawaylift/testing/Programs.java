package io.carawaylift.testing;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.carawaylift.runtime.Service;
import java.util.concurrent.CountDownLatch;

/** Shared startup code of the programs in this module. */
final class Programs {
    private static final int EXIT_USAGE = 2;

    private Programs() {}

    /** Parses the arguments; if they are invalid, prints the reason and exits with status 2. */
    @SuppressWarnings("SystemOut")
    static <T> T parse(Class<T> type, String[] args) {
        try {
            return SingleCommand.singleCommand(type).parse(args);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
            throw e;
        }
    }

    /** Runs a service until the process receives a termination signal. */
    static void runUntilSignal(Service service) {
        service.start();
        Runtime.getRuntime().addShutdownHook(new Thread(service::stop, "shutdown"));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
