package io.carawaylift.soak;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Plays runs with consecutive seeds and prints a line for each; ends with status 1 if a promise was broken. */
@Command(name = "soak", description = "Runs host programs under randomized faults")
public final class Soak {
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_USAGE = 2;
    private static final int SHOWN = 6;
    private static final long MILLIS_PER_SECOND = 1000;

    @Option(name = "--first-seed", description = "Seed of the first run")
    private long firstSeed = 1;

    @Option(name = "--seeds", description = "Number of runs")
    private int seeds = 50;

    @Option(name = "--seconds", description = "Seconds of faults in each run")
    private int seconds = 14;

    @Option(name = "--directory", description = "Where the logs of the programs are written, a folder for each seed")
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
        System.exit(soak.playAll() ? 0 : EXIT_BROKEN);
    }

    @SuppressWarnings("SystemOut")
    private boolean playAll() throws IOException, InterruptedException {
        boolean kept = true;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            SoakRun.Result result = play(seed, seconds * MILLIS_PER_SECOND, Path.of(directory, Long.toString(seed)));
            System.out.println(line(result));
            kept &= result.broken().isEmpty();
        }
        return kept;
    }

    /** Plays one run. */
    static SoakRun.Result play(long seed, long millis, Path directory) throws IOException, InterruptedException {
        try (SoakRun run = new SoakRun(seed, millis, directory)) {
            return run.play();
        }
    }

    private static String line(SoakRun.Result result) {
        List<String> broken = result.broken();
        String shown = String.join("\n    ", broken.subList(0, Math.min(SHOWN, broken.size())));
        return "seed %d%s: %d requests, %d answered, %d broken%s"
                .formatted(
                        result.seed(),
                        result.plannedOnly() ? " (planned work)" : "",
                        result.requests(),
                        result.answered(),
                        broken.size(),
                        broken.isEmpty() ? "" : "\n    " + shown);
    }
}
