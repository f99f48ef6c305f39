package io.carawaylift.testing;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.carawaylift.testing.demo.DemonstrationRunner;

/** Starts sites of real processes on this machine, measures them and stops every process. */
@Command(name = "demo", description = "Demonstrates carawaylift with real processes")
public final class Demo {
    @Option(name = "--site", description = "inzira, tideline or both")
    private String site = "both";

    @Option(name = "--seconds", description = "Seconds of load per step; some steps run for a multiple")
    private double seconds = 8;

    @Option(name = "--seed", description = "Seed of the arrivals")
    private long seed = 1;

    @Option(name = "--out", description = "JSON file for the results")
    private String out = "";

    @Option(name = "--serve-minutes", description = "Serve a steady load for this many minutes instead of the steps")
    private int serveMinutes;

    /** Runs the demonstration; exits with status 1 if a guarantee was violated. */
    public static void main(String[] args) {
        Demo demo = Programs.parse(Demo.class, args);
        boolean clean = new DemonstrationRunner(demo.seconds, demo.seed, demo.serveMinutes).run(demo.site, demo.out);
        System.exit(clean ? 0 : 1);
    }
}
