package io.carawaylift.soak;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Runs consecutive seeds and prints a summary of each; exits with status 1 if a guarantee was violated. */
@Command(name = "soak", description = "Runs host programs under randomized faults")
public final class Soak {
    private static final int EXIT_VIOLATION = 1;
    private static final int EXIT_USAGE = 2;
    private static final int MAX_SHOWN_VIOLATIONS = 6;
    private static final long MILLIS_PER_SECOND = 1000;

    @Option(name = "--first-seed", description = "Seed of the first run")
    private long firstSeed = 1;

    @Option(name = "--seeds", description = "Number of runs")
    private int seeds = 50;

    @Option(name = "--seconds", description = "Duration of the faults of each run in seconds")
    private int seconds = 14;

    @Option(
            name = "--directory",
            description = "Directory for the logs of the programs, with a subdirectory for each seed")
    private String directory = "target/soak";

    /** Runs the command. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] args) throws IOException, InterruptedException {
        Soak soak;
        try {
            soak = SingleCommand.singleCommand(Soak.class).parse(args);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
            return;
        }
        System.exit(soak.runAll() ? 0 : EXIT_VIOLATION);
    }

    @SuppressWarnings("SystemOut")
    private boolean runAll() throws IOException, InterruptedException {
        boolean allPassed = true;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            SoakRun.Result result = run(seed, seconds * MILLIS_PER_SECOND, Path.of(directory, Long.toString(seed)));
            System.out.println(summary(result));
            allPassed &= result.violations().isEmpty();
        }
        return allPassed;
    }

    /** Runs one seed, with faults for {@code faultMillis}, and stops all its processes afterwards. */
    static SoakRun.Result run(long seed, long faultMillis, Path directory) throws IOException, InterruptedException {
        try (SoakRun soakRun = new SoakRun(seed, faultMillis, directory)) {
            return soakRun.run();
        }
    }

    private static String summary(SoakRun.Result result) {
        List<String> violations = result.violations();
        String shown = String.join("\n    ", violations.subList(0, Math.min(MAX_SHOWN_VIOLATIONS, violations.size())));
        return "seed %d%s: %d requests, %d answered, %d violations%s"
                .formatted(
                        result.seed(),
                        result.plannedOnly() ? " (planned work)" : "",
                        result.requests(),
                        result.successes(),
                        violations.size(),
                        violations.isEmpty() ? "" : "\n    " + shown);
    }
}
