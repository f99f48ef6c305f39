package io.carawaylift.host;

import io.carawaylift.decisions.customer.ClockReading;
import io.carawaylift.decisions.replica.StorePosition;
import io.carawaylift.decisions.replica.WriterMark;
import io.carawaylift.platform.store.StoreItem;
import java.time.Duration;
import java.util.Optional;

/** Receives the objects of one kind on the event loop. */
interface KindListener {
    /** Called when an object is new or has a newer value. */
    void changed(StoreItem item);

    /** Called when an object was deleted, expired, or lost by a store that was restored from a copy. */
    void deleted(Removal removal);

    /**
     * An object that is gone.
     *
     * @param graceMillis time in which it may still be written again, because it may have expired while the store was
     *     unreachable, or a restored store may have lost it
     * @param lost whether the object was known in an earlier era of the store, so that it may not have been deleted
     * @param known position of the store at which the object was gone, or a later one
     */
    record Removal(String name, long graceMillis, boolean lost, StorePosition known) {}

    /** Called when all objects of the kind are known; may be called more than once. */
    void synchronizedWithStore();

    /** Called when all changes up to a position of the store are known. */
    default void caughtUp(StorePosition position) {}

    /** Called when a call to the store showed that the known objects were those of the store at a time. */
    default void proven(ClockReading at) {}

    /** Returns the longest wait of a watch after which the proof by its response is still in time. */
    default Duration maxWatchWait() {
        return Duration.ofDays(1);
    }

    /** Returns whether the store is to be read although another host confirms the objects. */
    default boolean isOwnProofDue() {
        return false;
    }

    /** Returns what the writer of an object says about the order of its writes, empty if nothing. */
    default Optional<WriterMark> mark(StoreItem item) {
        return Optional.empty();
    }

    /**
     * Returns the time after which an object that a restored store still has is taken as it is there, although a newer
     * version or a removal is known: its writer would have written it again, or it would have expired. Empty if it is
     * never taken.
     */
    default Optional<Duration> restoredLifetime() {
        return Optional.empty();
    }
}
