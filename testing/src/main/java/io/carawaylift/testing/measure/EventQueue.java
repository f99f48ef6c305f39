package io.carawaylift.testing.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of a virtual time in nanoseconds; events of one time in the order of scheduling. */
final class EventQueue {
    private record Event(long time, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::order));
    private long now;
    private long scheduled;

    long now() {
        return now;
    }

    void after(long delay, Runnable action) {
        events.add(new Event(now + Math.max(0, delay), scheduled++, action));
    }

    /** Runs all events up to the given time. */
    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().time() <= end) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
        now = end;
    }
}
