package io.carawaylift.testing.measure;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import java.io.PrintStream;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Runs the ownership decisions against random faults. The invariant is that requests in flight at an endpoint never exceed its
 * slots; after the faults endNanos, every endpoint must have an owner with all slots within a bounded time.
 *
 * <p>Arguments: first seed, minutes of wall-clock time, and optionally rules to switch off. Prints the seed of a failure.
 */
public final class OwnershipRun {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /** Covers the lag of the host list (28.5 s), twice lease, margin and hold, and a few rounds of reads and writes. */
    private static final long RECOVERY_TIMEOUT_NANOS = 90 * NANOS_PER_SECOND;

    private OwnershipRun() {}

    /** Runs seeds one after the other until the time is over. */
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

    /** Runs one seed: 200 s of faults, then recovery. */
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
        // Pauses and restarts that have begun last up to 25 s, a leaving host stays for 20 s and starts within 15 s.
        events.runUntil(events.nowNanos() + 40 * NANOS_PER_SECOND + RECOVERY_TIMEOUT_NANOS);
        List<String> notServed = region.notFullyServed();
        if (!notServed.isEmpty()) {
            throw new CarawayliftException(ResultCode.INVARIANT_VIOLATED, "not served in full: " + notServed);
        }
    }
}
