package io.carawaylift.decisions.currency;

import java.time.Duration;

/**
 * Durations of the calls that keep a view of the store up to date. Immutable.
 *
 * @param watchWait longest wait of a watch
 * @param responseAllowance delay beyond the wait of a call after which its response counts as lost
 * @param maxResponseGap longest time between the responses of the chains of a relay, so that it notices soon that it
 *     no longer reaches the store
 * @param confirmationLifetime time since the last response of the store to a relay for which a follower relies on it
 * @param positionInterval longest time between two messages of a relay that name the kinds it holds current
 */
public record CurrencyTimes(
        Duration watchWait,
        Duration responseAllowance,
        Duration maxResponseGap,
        Duration confirmationLifetime,
        Duration positionInterval) {
    /** Fraction of the stability window within which a lost response is detected and the kind is read again. */
    private static final double USABLE_WINDOW_FRACTION = 0.95;

    /** Twice the slowest response that was seen between regions (240 ms and a round trip), with a busy processor. */
    private static final Duration RESPONSE_ALLOWANCE = Duration.ofMillis(800);

    /** Time to open a connection and to read a kind again with a slow response. */
    private static final Duration REPEATED_READ = Duration.ofMillis(400);

    /** With three kinds this costs no more calls than one watch of 1 s and two of 3 s. */
    private static final Duration MAX_WATCH_WAIT = Duration.ofMillis(1900);

    /** Below it, calls would multiply; the stability window is then too short to be kept after a lost response. */
    private static final Duration MIN_WATCH_WAIT = Duration.ofMillis(300);

    /** Leaves 450 ms of the lifetime of a confirmation for a slow response and the way to the followers. */
    private static final Duration MAX_RESPONSE_GAP = Duration.ofMillis(1050);

    /** A follower that reads the store after this time knows a change within 2 s of its acceptance. */
    private static final Duration CONFIRMATION_LIFETIME = Duration.ofMillis(1500);

    private static final Duration POSITION_INTERVAL = Duration.ofMillis(450);

    /** Returns the durations for a time without disturbance after which a host must act on changes of the store. */
    public static CurrencyTimes of(Duration stabilityWindow) {
        long usableMillis = (long) (USABLE_WINDOW_FRACTION * stabilityWindow.toMillis());
        Duration wait = Duration.ofMillis(
                usableMillis - RESPONSE_ALLOWANCE.plus(REPEATED_READ).toMillis());
        return new CurrencyTimes(
                max(MIN_WATCH_WAIT, min(MAX_WATCH_WAIT, wait)),
                RESPONSE_ALLOWANCE,
                MAX_RESPONSE_GAP,
                CONFIRMATION_LIFETIME,
                POSITION_INTERVAL);
    }

    private static Duration min(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }
}
