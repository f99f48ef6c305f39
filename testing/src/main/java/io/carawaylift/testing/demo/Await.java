package io.carawaylift.testing.demo;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions. */
public final class Await {
    private static final long POLL_MS = 50;

    private Await() {}

    /** Polls until the condition holds; returns the milliseconds it took, or -1 if it did not within the time. */
    public static long until(long seconds, BooleanSupplier condition) {
        long start = System.nanoTime();
        long limit = TimeUnit.SECONDS.toNanos(seconds);
        while (!holds(condition)) {
            if (System.nanoTime() - start > limit) {
                return -1;
            }
            sleep(POLL_MS);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }

    /** Sleeps. */
    public static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** A page that cannot be read yet counts as a condition that does not hold yet. */
    private static boolean holds(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (java.io.UncheckedIOException e) {
            return false;
        }
    }
}
