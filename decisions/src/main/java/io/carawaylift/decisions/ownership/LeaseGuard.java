package io.carawaylift.decisions.ownership;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Release;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;

/**
 * Tells an entry process how many slots of each endpoint it may use now. Times are monotonic nanoseconds of one clock. Not
 * thread-safe.
 */
public final class LeaseGuard {
    /** Creates the guard of {@code self}, which owns nothing yet. */
    public LeaseGuard(EntryProcess self, LeaseTimes times) {
        throw new UnsupportedOperationException();
    }

    /** Records when heartbeat {@code number} was sent; numbers rise by one. */
    public void heartbeatSent(long number, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /**
     * Records that the platform holds a heartbeat.
     *
     * @param ownersVersions versions of the records {@code owners/} read after the write, by record name
     */
    public void platformConfirmed(long heartbeat, Map<String, Long> ownersVersions) {
        throw new UnsupportedOperationException();
    }

    /** Records that the control program of {@code host} promised not to take over for one lease. */
    public void successorAcknowledged(String host, long heartbeat) {
        throw new UnsupportedOperationException();
    }

    /**
     * Takes a newer ownership record; an older one is ignored.
     *
     * @param name record name
     * @param holdNanos longest deadline of the endpoint's service, by endpoint id
     */
    public void ownersChanged(
            String name, long version, OwnersRecord record, ToLongFunction<String> holdNanos, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Returns how many of {@code allotted} slots this process may use now; running work counts against them. */
    public int permittedSlots(String endpoint, int allotted, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /**
     * Returns the ids of endpoints that this process must release: it owns them and is asked to, or another process
     * took them over and waits for the word that nothing of this one is in flight.
     */
    public List<String> releaseRequested() {
        throw new UnsupportedOperationException();
    }

    /**
     * Returns the releases to report in the next heartbeat: endpoints of {@link #releaseRequested} without a request in
     * flight. An endpoint whose wait after a takeover still lasts is left out, because its new owner would not wait.
     *
     * @param inFlight requests of this process in flight, by endpoint id
     */
    public List<Release> released(ToIntFunction<String> inFlight, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Returns whether no heartbeat of the last lease was confirmed by the platform or by any successor. */
    public boolean isInDoubt(long nowNanos) {
        throw new UnsupportedOperationException();
    }
}
