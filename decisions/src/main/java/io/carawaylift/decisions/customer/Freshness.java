package io.carawaylift.decisions.customer;

/**
 * When the known configuration was last proved to be that of the store, and whether that is recent enough to rely on the
 * keys in it. Not thread-safe.
 */
public final class Freshness {
    /**
     * Fraction of the revocation delay for which a proof may be relied on. The rest is for requests that are on their
     * way to an endpoint, for clocks that run at different speeds and for hosts that are suspended in between.
     */
    private static final double USABLE_FRACTION = 0.7;

    private long usableMillis;
    private ClockReading proven;

    /**
     * Creates a state without a proof.
     *
     * @param revocationDelayMillis time after which a withdrawn key must be refused
     */
    public Freshness(long revocationDelayMillis) {
        setRevocationDelayMillis(revocationDelayMillis);
    }

    /** Sets the time after which a withdrawn key must be refused. */
    public void setRevocationDelayMillis(long millis) {
        usableMillis = (long) (USABLE_FRACTION * millis);
    }

    /** Returns the age in milliseconds up to which a proof may be relied on. */
    public long usableMillis() {
        return usableMillis;
    }

    /** Records that the known configuration was that of the store at a time; does nothing if a later one is known. */
    public void proven(ClockReading at, ClockReading now) {
        if (proven == null || now.millisSince(at) < now.millisSince(proven)) {
            proven = at;
        }
    }

    /** Returns the milliseconds since the proven time, {@link Long#MAX_VALUE} if there was no proof. */
    public long ageMillis(ClockReading now) {
        return proven == null ? Long.MAX_VALUE : now.millisSince(proven);
    }

    /** Returns whether a request with a key may be sent to an endpoint now. */
    public boolean isProven(ClockReading now) {
        return ageMillis(now) < usableMillis;
    }
}
