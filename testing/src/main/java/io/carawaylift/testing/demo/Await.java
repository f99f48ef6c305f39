package io.carawaylift.testing.demo;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Polls conditions. */
public final class Await {
    private static final long POLL_INTERVAL_MILLIS = 50;

    private Await() {}

    /** Polls until the condition holds; returns the elapsed milliseconds, or -1 after the timeout. */
    public static long until(long timeoutSeconds, BooleanSupplier condition) {
        long start = System.nanoTime();
        long timeoutNanos = TimeUnit.SECONDS.toNanos(timeoutSeconds);
        while (!isMet(condition)) {
            if (System.nanoTime() - start > timeoutNanos) {
                return -1;
            }
            sleep(POLL_INTERVAL_MILLIS);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }

    /** Sleeps; an interrupt is thrown as an {@link IllegalStateException}. */
    public static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while sleeping", e);
        }
    }

    /** Evaluates the condition; a failed request counts as a condition that does not hold. */
    private static boolean isMet(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (java.io.UncheckedIOException e) {
            return false;
        }
    }
}
