package io.carawaylift.decisions.currency;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The calls of one kind of objects, one after the other. The view of the kind is current while each call is answered in
 * time; an answer for another kind shows nothing about this one, since its own response may be lost. Times are in
 * nanoseconds of one clock. Not thread-safe.
 */
public final class CallChain {
    /** Time for the next call to be sent after its pause on a busy processor. */
    private static final Duration SEND_DELAY = Duration.ofMillis(200);

    private final long allowanceNanos;
    private boolean current;
    private long currentUntilNanos;
    private boolean inFlight;
    private long expectedNanos;
    private boolean proven;
    private long provenNanos;

    /**
     * Creates a chain without calls.
     *
     * @param responseAllowance delay beyond the wait of a call after which its response counts as lost
     */
    public CallChain(Duration responseAllowance) {
        allowanceNanos = responseAllowance.toNanos();
    }

    /** Records that a call was sent to which the store may wait for {@code wait} until it responds. */
    public void sent(long now, Duration wait) {
        current = isCurrent(now);
        inFlight = true;
        expectedNanos = now + wait.toNanos();
        currentUntilNanos = expectedNanos + allowanceNanos;
    }

    /**
     * Records a response that brings the view up to date.
     *
     * @param proven time at which the view was that of the store: when the call was sent, and for an empty response to
     *     a watch later by its wait
     * @param pause time until the next call
     */
    public void answered(long now, long proven, Duration pause) {
        inFlight = false;
        current = true;
        currentUntilNanos = now + pause.plus(SEND_DELAY).toNanos();
        proven(proven);
    }

    /** Records a proof that the view was that of the store at a time, without a response for all of it. */
    private void proven(long time) {
        if (!proven || time - provenNanos > 0) {
            proven = true;
            provenNanos = time;
        }
    }

    /** Records that the call failed, was refused or got no response in time, or that it is replaced. */
    public void unanswered() {
        inFlight = false;
        current = false;
    }

    /** Returns whether every call so far was answered in time, up to now. */
    public boolean isCurrent(long now) {
        return current && currentUntilNanos - now > 0;
    }

    /** Returns the time at which the response to the call in flight is due, or empty if there is none. */
    public OptionalLong expectedNanos() {
        return inFlight ? OptionalLong.of(expectedNanos) : OptionalLong.empty();
    }

    /** Returns the latest time at which the view is proven to have been that of the store, or empty if there is none. */
    public OptionalLong provenNanos() {
        return proven ? OptionalLong.of(provenNanos) : OptionalLong.empty();
    }

    /** Returns the milliseconds since that time, or empty if there is none. */
    public OptionalLong provenAgeMillis(long now) {
        return proven ? OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(now - provenNanos)) : OptionalLong.empty();
    }
}
