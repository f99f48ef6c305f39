package io.carawaylift.host;

import io.carawaylift.decisions.customer.ClockReading;
import io.carawaylift.platform.store.StoreItem;
import java.time.Duration;

/** Receives the objects of one kind on the event loop. */
interface KindListener {
    /** Called when an object is new or has a newer value. */
    void changed(StoreItem item);

    /**
     * Called when an object was deleted or expired.
     *
     * @param graceMillis time in which it may still be renewed, because it may have expired while the store was
     *     unreachable
     * @param knownRevision revision of the store at which the object was gone, or a later one
     */
    void deleted(String name, long graceMillis, long knownRevision);

    /** Called when all objects of the kind are known; may be called more than once. */
    void synchronizedWithStore();

    /** Called when all changes up to a revision of the store are known. */
    default void caughtUp(long revision) {}

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
}
