package io.carawaylift.testing.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in virtual time in nanoseconds. Events of the same time run in the order in which they were scheduled. */
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

    /** Runs all events up to and including the given time, which becomes the current time. */
    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().timeNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.timeNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }
}
