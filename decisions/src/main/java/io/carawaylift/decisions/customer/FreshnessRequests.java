package io.carawaylift.decisions.customer;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The requests of a host for the proofs of another one. A reply may be delayed for seconds on a broken link, so its age
 * counts from the time of the request. Not thread-safe.
 */
public final class FreshnessRequests {
    /**
     * Min interval between two requests. The proof of a relay is up to 2.8 s old and usable for 3.5 s, so that at least
     * two requests may be lost before a follower stops.
     */
    private static final long MIN_INTERVAL_MILLIS = 300;

    /** Fraction of the usable age below which no request is sent, since another host's proof is hardly newer. */
    private static final double MIN_AGE_FRACTION = 0.4;

    /** Requests without a reply that are remembered; older ones could prove nothing that is still usable. */
    private static final int MAX_PENDING = 32;

    private final Freshness freshness;
    private final Map<Long, ClockReading> pending = new LinkedHashMap<>();
    private ClockReading lastRequest;
    private long lastToken;

    /** Creates a state without requests; replies are recorded in {@code freshness}. */
    public FreshnessRequests(Freshness freshness) {
        this.freshness = freshness;
    }

    /** Returns the token of a request to be sent now, empty if none is due. */
    public OptionalLong next(ClockReading now) {
        boolean tooSoon = lastRequest != null && now.millisSince(lastRequest) < MIN_INTERVAL_MILLIS;
        if (tooSoon || freshness.ageMillis(now) < MIN_AGE_FRACTION * freshness.usableMillis()) {
            return OptionalLong.empty();
        }
        lastRequest = now;
        pending.put(++lastToken, now);
        if (pending.size() > MAX_PENDING) {
            pending.remove(pending.keySet().iterator().next());
        }
        return OptionalLong.of(lastToken);
    }

    /**
     * Records a reply of a host that knows the same configuration. Ignores unknown tokens. A request may have several
     * replies, since it is sent to several hosts.
     *
     * @param ageMillis age of that host's proof when it replied; a negative one is ignored
     */
    public void replied(long token, long ageMillis, ClockReading now) {
        ClockReading sent = pending.get(token);
        if (sent != null && ageMillis >= 0 && ageMillis <= freshness.usableMillis()) {
            freshness.proven(sent.plusMillis(-ageMillis), now);
        }
    }
}
