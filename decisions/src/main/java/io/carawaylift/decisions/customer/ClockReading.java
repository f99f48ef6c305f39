package io.carawaylift.decisions.customer;

import java.util.concurrent.TimeUnit;

/**
 * A time by both clocks of the machine. The monotonic clock stops while the machine is suspended, and the wall clock may
 * be set back, so a duration is the greater of the two that they measured.
 *
 * @param monotonicNanos value of {@link System#nanoTime}
 * @param wallMillis Unix time in milliseconds
 */
public record ClockReading(long monotonicNanos, long wallMillis) {
    /** Reads both clocks. */
    public static ClockReading now() {
        return new ClockReading(System.nanoTime(), System.currentTimeMillis());
    }

    /** Returns the time that is later, or earlier if {@code millis} is negative, by both clocks. */
    public ClockReading plusMillis(long millis) {
        return new ClockReading(monotonicNanos + TimeUnit.MILLISECONDS.toNanos(millis), wallMillis + millis);
    }

    /** Returns the milliseconds from an earlier reading to this one, at least 0. */
    public long millisSince(ClockReading earlier) {
        long monotonicMillis = TimeUnit.NANOSECONDS.toMillis(monotonicNanos - earlier.monotonicNanos);
        return Math.max(0, Math.max(monotonicMillis, wallMillis - earlier.wallMillis));
    }
}
