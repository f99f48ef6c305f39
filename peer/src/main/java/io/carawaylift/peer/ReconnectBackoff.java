package io.carawaylift.peer;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Computes reconnect delays: exponential backoff with full jitter, so that peers do not reconnect together. */
final class ReconnectBackoff {
    private static final int MAX_DOUBLINGS = 20;

    private final Duration initialDelay;
    private final Duration maxDelay;
    private final RandomGenerator random;
    private int failures;

    ReconnectBackoff(Duration initialDelay, Duration maxDelay, RandomGenerator random) {
        this.initialDelay = initialDelay;
        this.maxDelay = maxDelay;
        this.random = random;
    }

    /** Returns the delay before the next attempt in milliseconds, and counts a failure. */
    long nextMillis() {
        long maxMillis = Math.min(maxDelay.toMillis(), initialDelay.toMillis() << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return random.nextLong(maxMillis + 1);
    }

    /** Resets the delay after a connection was established. */
    void reset() {
        failures = 0;
    }
}
