package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Option;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.carawaylift.platform.HttpPlatformClient;
import io.carawaylift.platform.PlatformClient;
import java.io.PrintStream;
import java.util.Optional;

/** Base class of the commands with their shared options and exit statuses. */
abstract class OperatorCommand {
    static final int EXIT_OK = 0;
    static final int EXIT_FAILED = 1;

    private static final String PLATFORM_URL_VARIABLE = "CARAWAYLIFT_PLATFORM";

    @Option(
            name = {"-p", "--platform"},
            title = "url",
            description = "Base URL of the platform; defaults to the environment variable CARAWAYLIFT_PLATFORM")
    private String platformUrl = System.getenv(PLATFORM_URL_VARIABLE);

    @SuppressWarnings("SystemOut")
    private PrintStream out = System.out;

    /** Runs the command and returns its exit status. */
    abstract int run();

    /** Prints results to {@code stream} instead of standard output. */
    void printTo(PrintStream stream) {
        this.out = stream;
    }

    final PrintStream out() {
        return out;
    }

    final PlatformClient platform() {
        String url = Optional.ofNullable(platformUrl)
                .orElseThrow(() -> new CarawayliftException(
                        ResultCode.SETTINGS_INVALID,
                        "the platform URL is not set: use --platform URL or set " + PLATFORM_URL_VARIABLE));
        return HttpPlatformClient.builder().baseUrl(url).build();
    }
}
