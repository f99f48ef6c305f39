package io.carawaylift.testing.demo;

import io.carawaylift.testing.caller.OpenLoopLoad;
import io.carawaylift.testing.caller.PartReport;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Runs a load in the background while a step changes the site. */
final class RunningLoad {
    private final OpenLoopLoad load;
    private final CompletableFuture<List<PartReport>> reports;

    RunningLoad(OpenLoopLoad load, double seconds) {
        this.load = load;
        this.reports = CompletableFuture.supplyAsync(() -> load.run(seconds));
    }

    OpenLoopLoad load() {
        return load;
    }

    /** Waits for the end of the load and its last responses. */
    List<PartReport> join() {
        return reports.join();
    }
}
