package io.carawaylift.testing.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/** Runs the demonstration of one site or of both sites in sequence. */
public final class DemonstrationRunner {
    private final double seconds;
    private final long seed;
    private final int serveMinutes;

    /**
     * Creates a runner.
     *
     * @param seconds duration of the load of a step
     * @param seed seed of the arrivals
     * @param serveMinutes if positive, a steady load is served for this many minutes instead of the steps
     */
    public DemonstrationRunner(double seconds, long seed, int serveMinutes) {
        this.seconds = seconds;
        this.seed = seed;
        this.serveMinutes = serveMinutes;
    }

    /**
     * Runs the demonstration and prints its results.
     *
     * @param site {@code inzira}, {@code tideline} or {@code both}
     * @param out JSON file for the results, empty for none
     * @return whether no guarantee was violated
     */
    @SuppressWarnings("SystemOut")
    public boolean run(String site, String out) {
        ReportPrinter printer = new ReportPrinter(System.out);
        for (SitePlan plan : plans(site)) {
            demonstrate(plan, printer);
            if (!out.isEmpty()) {
                printer.write(Path.of(out));
            }
        }
        printer.line("\nsteps with violated guarantees: " + printer.failedSteps());
        return printer.failedSteps() == 0;
    }

    private void demonstrate(SitePlan plan, ReportPrinter printer) {
        RunningSite site = new RunningSite(plan, temporaryDirectory(plan.name()), UnaryOperator.identity());
        Thread shutdownHook = new Thread(site::close, "end of processes");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try (SiteDemonstration demonstration = new SiteDemonstration(site, printer, seconds, seed)) {
            if (serveMinutes > 0) {
                demonstration.serve(serveMinutes);
            } else {
                demonstration.run();
            }
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }

    private static List<SitePlan> plans(String site) {
        List<SitePlan> selected = new ArrayList<>();
        for (SitePlan plan : List.of(SitePlans.inzira(), SitePlans.tideline())) {
            if (site.equals("both") || site.equals(plan.name())) {
                selected.add(plan);
            }
        }
        if (selected.isEmpty()) {
            throw new IllegalArgumentException("--site " + site + ": expected inzira, tideline or both");
        }
        return selected;
    }

    private static Path temporaryDirectory(String name) {
        try {
            return Files.createTempDirectory("carawaylift-" + name + "-");
        } catch (IOException e) {
            throw new UncheckedIOException("cannot create a temporary directory", e);
        }
    }
}
