package io.carawaylift.testing.measure;

import io.carawaylift.loadmodel.EventQueue;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import java.io.PrintStream;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Runs the ownership decisions under random faults. The requests in flight at an endpoint must never exceed its slots, and
 * within a bounded time after the last fault each endpoint must have an owner that may use all its slots.
 *
 * <p>Arguments: first seed, minutes of wall-clock time, and optionally the rules to disable. Prints the seed of a failure.
 */
public final class OwnershipRun {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /**
     * Covers the lag of the host list (28.5 s), twice the lease, clock margin and longest deadline, and a few reads
     * and writes.
     */
    private static final long RECOVERY_TIMEOUT_NANOS = 90 * NANOS_PER_SECOND;

    private OwnershipRun() {}

    /** Runs consecutive seeds until the time is up or a seed fails. */
    public static void main(String[] arguments) {
        long seed = Long.parseLong(arguments[0]);
        long endNanos = System.nanoTime() + (long) (Double.parseDouble(arguments[1]) * 60 * NANOS_PER_SECOND);
        Set<SimulatedRule> disabled = EnumSet.noneOf(SimulatedRule.class);
        for (int i = 2; i < arguments.length; i++) {
            disabled.add(SimulatedRule.valueOf(arguments[i]));
        }
        System.exit(run(seed, endNanos, disabled, System.out));
    }

    private static int run(long firstSeed, long endNanos, Set<SimulatedRule> disabled, PrintStream out) {
        long seed = firstSeed;
        for (; System.nanoTime() < endNanos; seed++) {
            try {
                runSeed(seed, disabled);
            } catch (CarawayliftException e) {
                out.println("seed " + seed + " failed after " + (seed - firstSeed) + " good seeds: " + e.getMessage());
                e.printStackTrace(out);
                return 1;
            }
        }
        out.println("seeds " + firstSeed + " to " + (seed - 1) + " held");
        return 0;
    }

    /** Runs one seed: 200 s of faults, then recovery. Throws {@link CarawayliftException} if an invariant is violated. */
    static void runSeed(long seed, Set<SimulatedRule> disabled) {
        SimulatedRegion region = new SimulatedRegion(seed, disabled);
        OwnershipFaults faults = new OwnershipFaults(region);
        EventQueue events = region.events();
        long maxIntervalNanos = (1 + region.random().nextInt(12)) * NANOS_PER_SECOND;
        events.runUntil(20 * NANOS_PER_SECOND);
        while (events.nowNanos() < 220 * NANOS_PER_SECOND) {
            events.runUntil(events.nowNanos() + (long) (region.random().nextDouble() * maxIntervalNanos));
            region.checkEpochs();
            faults.inject();
        }
        region.heal();
        // Pauses and restarts in progress last up to 25 s; a draining host runs for 20 s and restarts within 15 s.
        events.runUntil(events.nowNanos() + 40 * NANOS_PER_SECOND + RECOVERY_TIMEOUT_NANOS);
        List<String> notServed = region.notFullyServed();
        if (!notServed.isEmpty()) {
            throw new CarawayliftException(ResultCode.INVARIANT_VIOLATED, "not served in full: " + notServed);
        }
    }
}
