package io.carawaylift.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** The schedule of faults of one run, derived from a seed. Immutable. */
final class FaultPlan {
    private static final long MIN_START_MILLIS = 1500;
    private static final int MIN_STEPS = 8;
    private static final int MAX_STEPS = 16;
    private static final int MIN_DURATION_MILLIS = 200;
    private static final int MAX_DURATION_MILLIS = 3000;

    /** Seeds divisible by this have planned work only, during which no request may be lost. */
    private static final int PLANNED_ONLY_SEED_INTERVAL = 4;

    /** Probability that a step repeats the kind of fault that was drawn last, so that faults come in series. */
    private static final double SERIES_PROBABILITY = 0.25;

    private static final int MAX_SILENCES = 2;
    private static final int MAX_ENDLESS_RESPONSES = 2;
    private static final int MAX_RESTORES = 1;

    /**
     * Kinds of faults; the first group is planned work. The order of those before {@link #STORE_SILENCE} determines the
     * plan of each seed; the others are drawn separately.
     */
    enum Fault {
        HOST_TERMINATE(true),
        HOST_RELOAD(true),
        CONFIGURE(true),
        EVACUATE(true),
        ENDPOINT_DRAIN(true),
        HOST_KILL(false),
        HOST_PAUSE(false),
        STORE_REJECT(false),
        STORE_DISCARD_HISTORY(false),
        STORE_LINK_RESET(false),
        STORE_LINK_DROP(false),
        STORE_LINK_STALL(false),
        STORE_LINK_DELAY(false),
        ENDPOINT_CRASH(false),
        ENDPOINT_REUSE_ADDRESS(false),
        ENDPOINT_REJECT(false),
        ENDPOINT_LOSE_RESPONSES(false),
        ENDPOINT_TRUNCATE_RESPONSES(false),
        ENDPOINT_DUPLICATE_RESPONSES(false),
        ENDPOINT_LINK_RESET(false),
        ENDPOINT_LINK_DROP(false),
        ENDPOINT_LINK_DROP_RESPONSES(false),
        ENDPOINT_LINK_STALL(false),
        ENDPOINT_LINK_DELAY(false),
        STORE_SILENCE(false),
        ENDPOINT_ENDLESS_RESPONSES(false),
        STORE_RESTORE(false);

        private final boolean planned;

        Fault(boolean planned) {
            this.planned = planned;
        }
    }

    /**
     * A fault and when it is injected.
     *
     * @param atMillis since the callers started
     * @param target number that selects the host or endpoint, modulo their count
     */
    record Step(long atMillis, Fault fault, int target, long durationMillis) {}

    private final boolean plannedOnly;
    private final List<Step> steps;

    private FaultPlan(boolean plannedOnly, List<Step> steps) {
        this.plannedOnly = plannedOnly;
        this.steps = List.copyOf(steps);
    }

    /** Returns the plan for a run with faults for {@code runMillis}. */
    static FaultPlan of(long seed, long runMillis) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean plannedOnly = Math.floorMod(seed, PLANNED_ONLY_SEED_INTERVAL) == 0;
        List<Fault> kinds = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            if (fault.compareTo(Fault.STORE_SILENCE) < 0 && (fault.planned || !plannedOnly)) {
                kinds.add(fault);
            }
        }
        List<Step> steps = new ArrayList<>();
        int count = random.nextInt(MIN_STEPS, MAX_STEPS + 1);
        Fault fault = kinds.get(random.nextInt(kinds.size()));
        for (int i = 0; i < count; i++) {
            if (random.nextDouble() >= SERIES_PROBABILITY) {
                fault = kinds.get(random.nextInt(kinds.size()));
            }
            steps.add(step(fault, random, runMillis));
        }
        if (!plannedOnly) {
            addUpTo(MAX_SILENCES, Fault.STORE_SILENCE, random.split(), runMillis, steps);
            addUpTo(MAX_ENDLESS_RESPONSES, Fault.ENDPOINT_ENDLESS_RESPONSES, random.split(), runMillis, steps);
            addUpTo(MAX_RESTORES, Fault.STORE_RESTORE, random.split(), runMillis, steps);
        }
        steps.sort(Comparator.comparingLong(Step::atMillis));
        return new FaultPlan(plannedOnly, steps);
    }

    private static void addUpTo(int maxSteps, Fault fault, SplittableRandom random, long runMillis, List<Step> steps) {
        for (int i = random.nextInt(maxSteps + 1); i > 0; i--) {
            steps.add(step(fault, random, runMillis));
        }
    }

    private static Step step(Fault fault, SplittableRandom random, long runMillis) {
        return new Step(
                random.nextLong(MIN_START_MILLIS, Math.max(MIN_START_MILLIS + 1, runMillis - MAX_DURATION_MILLIS)),
                fault,
                random.nextInt(1 << 20),
                random.nextLong(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS));
    }

    /** Returns whether all faults are planned work. */
    boolean plannedOnly() {
        return plannedOnly;
    }

    List<Step> steps() {
        return steps;
    }
}
