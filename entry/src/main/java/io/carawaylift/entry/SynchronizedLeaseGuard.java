package io.carawaylift.entry;

import io.carawaylift.decisions.ownership.LeaseDurations;
import io.carawaylift.decisions.ownership.LeaseGuard;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Release;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;

/**
 * Guards the {@link LeaseGuard} with a lock, which is acquired after the lock of a shard and never before. Thread-safe.
 */
final class SynchronizedLeaseGuard {
    private final Object lock = new Object();
    private final LeaseGuard guard;
    private final LongSupplier clock;

    SynchronizedLeaseGuard(EntryProcess self, LongSupplier clock) {
        this.guard = new LeaseGuard(self, LeaseDurations.DEFAULT);
        this.clock = clock;
    }

    /**
     * Records that a heartbeat is being sent. Must be called before sending, so that the lease is not measured from a
     * later time.
     */
    void heartbeatSent(long number) {
        synchronized (lock) {
            guard.heartbeatSent(number, clock.getAsLong());
        }
    }

    void platformConfirmed(long heartbeat, Map<String, Long> ownersVersions) {
        synchronized (lock) {
            guard.platformConfirmed(heartbeat, ownersVersions);
        }
    }

    void successorAcknowledged(String host, long heartbeat) {
        synchronized (lock) {
            guard.successorAcknowledged(host, heartbeat);
        }
    }

    void ownersChanged(String name, long version, OwnersRecord record, Topology topology) {
        synchronized (lock) {
            guard.ownersChanged(
                    name,
                    version,
                    record,
                    endpoint -> TimeUnit.MILLISECONDS.toNanos(topology.maxDeadlineMillis(endpoint)),
                    clock.getAsLong());
        }
    }

    int permittedSlots(String endpoint, int allocatedSlots, long nowNanos) {
        synchronized (lock) {
            return guard.permittedSlots(endpoint, allocatedSlots, nowNanos);
        }
    }

    /** Returns the releases to report, see {@link LeaseGuard#released}. */
    List<Release> released(ToIntFunction<String> inFlight) {
        synchronized (lock) {
            return List.copyOf(guard.released(inFlight, clock.getAsLong()));
        }
    }

    boolean isLeaseUnconfirmed() {
        synchronized (lock) {
            return guard.isLeaseUnconfirmed(clock.getAsLong());
        }
    }
}
