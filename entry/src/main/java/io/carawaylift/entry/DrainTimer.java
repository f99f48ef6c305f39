package io.carawaylift.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/** Measures how long endpoints that get no new work still have requests in flight. Guarded by a shard's lock. */
final class DrainTimer {
    private final LongConsumer onDrained;
    private final Map<String, Long> closedNanos = new HashMap<>();

    DrainTimer(LongConsumer onDrained) {
        this.onDrained = onDrained;
    }

    /** Records that an endpoint gets no new work. */
    void closed(String endpoint, boolean idle, long nowNanos) {
        if (idle) {
            onDrained.accept(0);
        } else {
            closedNanos.putIfAbsent(endpoint, nowNanos);
        }
    }

    /** Records that nothing is in flight at an endpoint. */
    void idle(String endpoint, long nowNanos) {
        Long since = closedNanos.remove(endpoint);
        if (since != null) {
            onDrained.accept(nowNanos - since);
        }
    }
}
