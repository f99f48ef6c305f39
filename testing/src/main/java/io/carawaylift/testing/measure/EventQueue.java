package io.carawaylift.testing.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the sequence of a virtual timeNanos in nanoseconds; events of one timeNanos in the sequence of scheduling. */
final class EventQueue {
    private record Event(long timeNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long nextSequence;

    long nowNanos() {
        return nowNanos;
    }

    void schedule(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + Math.max(0, delayNanos), nextSequence++, action));
    }

    /** Runs all events up to the given timeNanos. */
    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().timeNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.timeNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }
}
