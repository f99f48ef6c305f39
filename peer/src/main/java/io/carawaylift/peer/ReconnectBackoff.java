package io.carawaylift.peer;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Delays between attempts to connect: exponential with full jitter, so that peers do not reconnect together. */
final class ReconnectBackoff {
    private static final int MAX_DOUBLINGS = 20;

    private final Duration first;
    private final Duration most;
    private final RandomGenerator random;
    private int failures;

    ReconnectBackoff(Duration first, Duration most, RandomGenerator random) {
        this.first = first;
        this.most = most;
        this.random = random;
    }

    /** Returns the delay before the next attempt, in milliseconds. */
    long nextMillis() {
        long bound = Math.min(most.toMillis(), first.toMillis() << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return random.nextLong(bound + 1);
    }

    /** Starts over after a connection was established. */
    void reset() {
        failures = 0;
    }
}
