package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Runs a case: prepares a record and a temporary folder, ends all processes, and exits with the result. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long MAX_MILLIS = 112_000;

    /** Whether the disruption is made. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final List<Host> hosts = new ArrayList<>();
    Record record;
    Path directory;

    /** Plays the case; returns the exit status. */
    abstract int play() throws Exception;

    /** Runs the case; {@code file} gets the record. */
    final void run(Path file) throws IOException, InterruptedException {
        record = new Record(file);
        directory = Files.createTempDirectory("review-2-");
        Thread clean = new Thread(this::end);
        Runtime.getRuntime().addShutdownHook(clean);
        int[] status = {NOT_RUN};
        Thread player = new Thread(() -> {
            try {
                status[0] = play();
            } catch (Exception e) {
                record.result("could not run: " + e);
            }
        });
        player.setDaemon(true);
        player.start();
        player.join(MAX_MILLIS);
        record.result("exit status " + status[0] + (trouble ? "" : " (TROUBLE=0)"));
        System.exit(status[0]);
    }

    private void end() {
        for (Host host : hosts) {
            try {
                host.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(directory)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                record.line("temporary folder not removed: " + e);
            }
        }
    }
}
