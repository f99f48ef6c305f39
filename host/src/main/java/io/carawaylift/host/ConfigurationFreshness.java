package io.carawaylift.host;

import io.carawaylift.decisions.customer.ClockReading;
import io.carawaylift.decisions.customer.Freshness;
import io.carawaylift.decisions.customer.FreshnessRequests;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import io.carawaylift.peer.Message.FreshnessReply;
import io.carawaylift.peer.Message.FreshnessRequest;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Knows whether the configuration was proved to be that of the store so recently that the keys in it may be relied on.
 * The proofs are the host's own calls to the store and the replies of the relays of its region. Used on the event loop
 * only.
 */
final class ConfigurationFreshness {
    /** Interval of the checks. Replies of a relay are needed several times in the usable age of a proof. */
    static final long CHECK_INTERVAL_MILLIS = 300;

    /** Leaves 0.9 s of 3.5 s for two or three requests of a follower. */
    private static final double RENEWAL_AGE_FRACTION = 0.75;

    /** Longest usual time of a response of the store beyond the wait. */
    private static final long RESPONSE_DELAY_MILLIS = 240;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final Supplier<ClockReading> clock;
    private final EventLog log;
    private final State state;
    private final Consumer<Message> sendToRelays;
    private final Freshness freshness;
    private final FreshnessRequests requests;
    private boolean proven = true;

    /** What the host knows and needs. */
    interface State {
        /** Returns whether requests with keys may be sent only while the configuration is proved to be current. */
        boolean isProofRequired();

        /** Returns whether the host's own calls to the store are the proof, so that no other host is asked. */
        boolean isOwnProof();

        /** Returns the digest of the configuration's names and revisions. */
        long digest();

        /** Returns the version in force, 0 if none. */
        long version();
    }

    ConfigurationFreshness(
            long revocationDelayMillis,
            Supplier<ClockReading> clock,
            State state,
            Consumer<Message> sendToRelays,
            EventLog log) {
        this.clock = clock;
        this.state = state;
        this.sendToRelays = sendToRelays;
        this.log = log;
        this.freshness = new Freshness(revocationDelayMillis);
        this.requests = new FreshnessRequests(freshness);
    }

    void setRevocationDelayMillis(long millis) {
        freshness.setRevocationDelayMillis(millis);
    }

    /** Records that the known configuration was that of the store at a time. */
    void proven(ClockReading at) {
        freshness.proven(at, clock.get());
        isUsable();
    }

    /**
     * Returns the longest wait of a watch of the configuration, so that its response renews the proof in time for the
     * followers. After a change the proof may be as old as the wait of the watch that brought it, so the next watch is
     * short.
     */
    Duration maxWatchWait() {
        if (!state.isProofRequired()) {
            return Duration.ofDays(1);
        }
        long renewalAgeMillis = (long) (RENEWAL_AGE_FRACTION * freshness.usableMillis());
        long ageMillis = Math.min(renewalAgeMillis, freshness.ageMillis(clock.get()));
        return Duration.ofMillis(Math.max(1, renewalAgeMillis - ageMillis - RESPONSE_DELAY_MILLIS));
    }

    /** Returns whether a request with a key may be sent to an endpoint now. */
    boolean isUsable() {
        ClockReading now = clock.get();
        boolean usable = !state.isProofRequired() || freshness.isProven(now);
        if (usable != proven) {
            proven = usable;
            log.event(
                    usable ? "configuration.proven" : "configuration.unproven",
                    line -> line.put("version", state.version())
                            .put("ageMs", ageMillis(now))
                            .put("maxAgeMs", freshness.usableMillis()));
        }
        return usable;
    }

    /** Returns the result of the last check, for the metrics. */
    boolean wasUsable() {
        return proven;
    }

    /** Returns the age of the last proof in milliseconds, -1 if there is none. */
    private long ageMillis(ClockReading now) {
        long age = freshness.ageMillis(now);
        return age == Long.MAX_VALUE ? -1 : age;
    }

    /** Returns the age of the last proof in seconds, NaN if there is none. */
    double ageSeconds() {
        long age = ageMillis(clock.get());
        return age < 0 ? Double.NaN : age / MILLIS_PER_SECOND;
    }

    /** Asks the relays for their proof if the own one is getting old; called periodically and when a relay has news. */
    void check() {
        isUsable();
        if (state.isProofRequired() && !state.isOwnProof()) {
            requests.next(clock.get()).ifPresent(token -> sendToRelays.accept(new FreshnessRequest(token)));
        }
    }

    /** Handles a message of another host; ignores those of other types. */
    void messageReceived(Connection connection, Message message) {
        ClockReading now = clock.get();
        if (message instanceof FreshnessRequest request && freshness.isProven(now)) {
            connection.send(
                    new FreshnessReply(request.token(), state.digest(), freshness.ageMillis(now), state.version()));
        } else if (message instanceof FreshnessReply reply
                && reply.digest() == state.digest()
                && reply.version() <= state.version()) {
            requests.replied(reply.token(), reply.ageMillis(), now);
            isUsable();
        }
    }
}
