package io.carawaylift.testing.measure;

import io.carawaylift.loadmodel.EventQueue;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/** In-memory object store whose requests and responses may be delayed or lost; writes may take effect late. */
final class UnreliablePlatform {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MAX_LATE_EFFECT_NANOS = 30_000 * NANOS_PER_MILLI;

    /** One version of an object; objects are immutable records of the model. */
    record VersionedObject(long version, Object value) {}

    /** Result of an update, with the version that is stored afterwards. */
    record WriteResult(boolean accepted, long version) {}

    private final EventQueue events;
    private final Random random;
    private final Map<String, VersionedObject> objects = new HashMap<>();
    private final Faults faults;

    /** Active faults; rates are probabilities from 0 to 1, times are virtual nanoseconds. */
    static final class Faults {
        double lossRate;
        double lateRate;
        long outageUntilNanos;
        long watchOutageUntilNanos;
    }

    UnreliablePlatform(EventQueue events, Random random, Faults faults) {
        this.events = events;
        this.random = random;
        this.faults = faults;
    }

    Faults faults() {
        return faults;
    }

    Optional<VersionedObject> current(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    void put(String name, Object value) {
        long version = current(name).map(VersionedObject::version).orElse(0L) + 1;
        objects.put(name, new VersionedObject(version, value));
    }

    /** Reads an object; the callback may never be called. */
    void read(SimulatedProcess caller, String name, Consumer<Optional<VersionedObject>> callback) {
        deliverRequest(false, () -> {
            Optional<VersionedObject> found = current(name);
            deliverReply(caller, () -> callback.accept(found));
        });
    }

    /** Updates an object if it has the expected version; the update may be late and the callback may never be called. */
    void write(
            SimulatedProcess caller, String name, Object value, long expectedVersion, Consumer<WriteResult> callback) {
        deliverRequest(true, () -> {
            long version = current(name).map(VersionedObject::version).orElse(0L);
            boolean accepted = version == expectedVersion;
            if (accepted) {
                put(name, value);
            }
            deliverReply(caller, () -> callback.accept(new WriteResult(accepted, accepted ? version + 1 : version)));
        });
    }

    private void deliverRequest(boolean write, Runnable effect) {
        boolean down = events.nowNanos() < faults.outageUntilNanos;
        if (write && (down || random.nextDouble() < faults.lateRate)) {
            // Simulates buffering in the network: the update takes effect long after the caller timed out.
            if (random.nextInt(3) == 0) {
                events.schedule((long) (random.nextDouble() * MAX_LATE_EFFECT_NANOS), effect);
            }
        } else if (!down && random.nextDouble() >= faults.lossRate) {
            events.schedule(randomDelayNanos(), effect);
        }
    }

    private void deliverReply(SimulatedProcess caller, Runnable callback) {
        if (events.nowNanos() >= faults.outageUntilNanos && random.nextDouble() >= faults.lossRate) {
            boolean late = random.nextDouble() < faults.lateRate;
            caller.handleAfter(late ? randomDelayNanos() * 500 : randomDelayNanos(), callback);
        }
    }

    private long randomDelayNanos() {
        return (1 + random.nextInt(8)) * NANOS_PER_MILLI;
    }
}
