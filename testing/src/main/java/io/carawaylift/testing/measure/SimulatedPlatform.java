package io.carawaylift.testing.measure;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/** In-memory object store with delayed, lost and late requests and answers. */
final class SimulatedPlatform {
    private static final long MILLISECOND = 1_000_000L;
    private static final long LATE_EFFECT = 30_000 * MILLISECOND;

    /** One version of an object; objects are immutable records of the model. */
    record Stored(long version, Object value) {}

    /** How an update ended, as far as an answer tells. */
    record Written(boolean accepted, long version) {}

    private final EventQueue events;
    private final Random random;
    private final Map<String, Stored> objects = new HashMap<>();
    private final Faults faults;

    /** Faults in force now. */
    static final class Faults {
        double lossRate;
        double lateRate;
        long outageUntil;
        long watchDownUntil;
    }

    SimulatedPlatform(EventQueue events, Random random, Faults faults) {
        this.events = events;
        this.random = random;
        this.faults = faults;
    }

    Faults faults() {
        return faults;
    }

    Optional<Stored> now(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    void put(String name, Object value) {
        long version = now(name).map(Stored::version).orElse(0L) + 1;
        objects.put(name, new Stored(version, value));
    }

    /** Reads; the answer may never come. */
    void read(SimulatedProcess caller, String name, Consumer<Optional<Stored>> answer) {
        arrive(false, () -> {
            Optional<Stored> found = now(name);
            reply(caller, () -> answer.accept(found));
        });
    }

    /** Updates conditionally; the effect may come late and the answer may never come. */
    void write(SimulatedProcess caller, String name, Object value, long expected, Consumer<Written> answer) {
        arrive(true, () -> {
            long version = now(name).map(Stored::version).orElse(0L);
            boolean accepted = version == expected;
            if (accepted) {
                put(name, value);
            }
            reply(caller, () -> answer.accept(new Written(accepted, accepted ? version + 1 : version)));
        });
    }

    private void arrive(boolean write, Runnable effect) {
        boolean down = events.now() < faults.outageUntil;
        if (write && (down || random.nextDouble() < faults.lateRate)) {
            // Buffered on the way: takes effect long after the caller gave up.
            if (random.nextInt(3) == 0) {
                events.after((long) (random.nextDouble() * LATE_EFFECT), effect);
            }
        } else if (!down && random.nextDouble() >= faults.lossRate) {
            events.after(delay(), effect);
        }
    }

    private void reply(SimulatedProcess caller, Runnable answer) {
        if (events.now() >= faults.outageUntil && random.nextDouble() >= faults.lossRate) {
            boolean late = random.nextDouble() < faults.lateRate;
            caller.handleAfter(late ? delay() * 500 : delay(), answer);
        }
    }

    private long delay() {
        return (1 + random.nextInt(8)) * MILLISECOND;
    }
}
