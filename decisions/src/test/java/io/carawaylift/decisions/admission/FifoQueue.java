package io.carawaylift.decisions.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Baseline without ranks, floors or wait estimates, used to verify that the flood tests can fail. */
final class FifoQueue implements QueueUnderTest {
    private final int limit;
    private final int capacity;
    private final Deque<Work<Long>> waiting = new ArrayDeque<>();
    private int inFlight;

    FifoQueue(int limit, int capacity) {
        this.limit = limit;
        this.capacity = capacity;
    }

    @Override
    public void offer(Work<Long> work, long nowNanos) {
        if (waiting.size() < capacity) {
            waiting.add(work);
        }
    }

    @Override
    public Optional<Work<Long>> next(long nowNanos) {
        if (inFlight >= limit || waiting.isEmpty()) {
            return Optional.empty();
        }
        inFlight++;
        return Optional.of(waiting.remove());
    }

    @Override
    public void finished(Work<Long> work, long nowNanos) {
        inFlight--;
    }
}
