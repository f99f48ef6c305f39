package io.carawaylift.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Measures how long endpoints that receive no new requests still have requests in flight. Guarded by the shard's lock.
 */
final class DrainTimer {
    private final LongConsumer onDrained;
    private final Map<String, Long> startNanos = new HashMap<>();

    DrainTimer(LongConsumer onDrained) {
        this.onDrained = onDrained;
    }

    /** Records that an endpoint receives no new requests from now on. */
    void drainStarted(String endpoint, boolean idle, long nowNanos) {
        if (idle) {
            onDrained.accept(0);
        } else {
            startNanos.putIfAbsent(endpoint, nowNanos);
        }
    }

    /** Records that nothing is in flight at an endpoint. */
    void becameIdle(String endpoint, long nowNanos) {
        Long since = startNanos.remove(endpoint);
        if (since != null) {
            onDrained.accept(nowNanos - since);
        }
    }
}
