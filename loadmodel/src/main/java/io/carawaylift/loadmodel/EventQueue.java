package io.carawaylift.loadmodel;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs events in virtual time in nanoseconds. Events of the same time run in the order in which they were scheduled. Not
 * thread-safe.
 */
public final class EventQueue {
    private static final double NANOS_PER_MILLI = 1e6;

    private record Event(long timeNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long nextSequence;

    /** Creates a queue without events at time 0. */
    public EventQueue() {}

    /** Returns the current time. */
    public long nowNanos() {
        return nowNanos;
    }

    /** Schedules an action; a negative delay counts as 0. */
    public void schedule(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + Math.max(0, delayNanos), nextSequence++, action));
    }

    void afterMillis(double delayMillis, Runnable action) {
        schedule((long) (delayMillis * NANOS_PER_MILLI), action);
    }

    /** Runs an action now and then periodically. */
    void everyMillis(double intervalMillis, Runnable action) {
        action.run();
        afterMillis(intervalMillis, () -> everyMillis(intervalMillis, action));
    }

    /** Runs all events up to and including the given time, which becomes the current time. */
    public void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().timeNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.timeNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }
}
