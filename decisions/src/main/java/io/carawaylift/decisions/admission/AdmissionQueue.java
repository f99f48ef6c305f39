package io.carawaylift.decisions.admission;

import io.carawaylift.model.Rank;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Queue by rank and customer in front of a number of slots. Times are monotonic nanoseconds. Not thread-safe: the caller
 * holds its shard's lock.
 */
public final class AdmissionQueue<T> {
    /** Returns a builder of an empty queue. */
    public static <T> Builder<T> builder() {
        return new Builder<>();
    }

    /** Sets how many slots may be used; when it shrinks, running work finishes and nothing new starts until it fits. */
    public void limit(int slots) {
        throw new UnsupportedOperationException();
    }

    /** Sets the least share of slot time of each rank, as fractions from 0 to 1. */
    public void floors(Map<Rank, Double> floors) {
        throw new UnsupportedOperationException();
    }

    /** Queues the work or refuses it. Call {@link #next} afterwards, because a slot may be free. */
    public Offer<T> offer(Work<T> work, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Takes the work that starts now and counts it in flight; empty if no slot is free or nothing waits. */
    public Optional<Work<T>> next(long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Removes and returns waiting work whose deadline has passed; the caller refuses it as not run. */
    public List<Work<T>> expired(long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Frees the slot of work that {@link #next} returned and learns from the time it took. */
    public void finished(Work<T> work, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Removes waiting work; returns false if it is not waiting any more. */
    public boolean cancel(Work<T> work) {
        throw new UnsupportedOperationException();
    }

    /** Returns how much work is in flight. */
    public int inFlight() {
        throw new UnsupportedOperationException();
    }

    /** Returns how much work of a rank waits. */
    public int waiting(Rank rank) {
        throw new UnsupportedOperationException();
    }

    /** Sets the properties of a queue. */
    public static final class Builder<T> {
        private Builder() {}

        /** Sets how much work may wait at most. */
        public Builder<T> capacity(int waiting) {
            throw new UnsupportedOperationException();
        }

        /** Sets the slots, see {@link AdmissionQueue#limit}. */
        public Builder<T> limit(int slots) {
            throw new UnsupportedOperationException();
        }

        /** Sets the floors, see {@link AdmissionQueue#floors}. */
        public Builder<T> floors(Map<Rank, Double> floors) {
            throw new UnsupportedOperationException();
        }

        /** Returns the queue. */
        public AdmissionQueue<T> build() {
            throw new UnsupportedOperationException();
        }
    }
}
