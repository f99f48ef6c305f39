package io.carawaylift.decisions.ownership;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.Release;
import io.carawaylift.model.ResultCode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;

/**
 * Decides how many slots of each endpoint an entry process may use now. Times are monotonic nanoseconds of one clock.
 * Not thread-safe.
 */
public final class LeaseGuard {
    private final EntryProcess self;
    private final LeaseDurations durations;
    private final SentHeartbeats sent = new SentHeartbeats();
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, OwnedEndpoint> owned = new HashMap<>();
    /** Endpoints whose current owner waits until this process has released them, with their epochs, by record name. */
    private final Map<String, List<Release>> awaitedReleases = new HashMap<>();
    /** Send time of the newest heartbeat that the platform confirmed, by record name. */
    private final Map<String, Long> confirmedNanos = new HashMap<>();
    /** Send time of the newest heartbeat that a successor acknowledged, by host. */
    private final Map<String, Long> acknowledgedNanos = new HashMap<>();

    /** Creates the guard of {@code self}, which owns nothing yet. */
    public LeaseGuard(EntryProcess self, LeaseDurations durations) {
        this.self = self;
        this.durations = durations;
    }

    /** Records when heartbeat {@code number} was sent; each number must be the previous one plus one. */
    public void heartbeatSent(long number, long nowNanos) {
        sent.add(number, nowNanos);
    }

    /**
     * Records that the platform has stored a heartbeat.
     *
     * @param ownersVersions versions of the records {@code owners/} read after the write, by record name
     */
    public void platformConfirmed(long heartbeat, Map<String, Long> ownersVersions) {
        sent.sentAt(heartbeat)
                .ifPresent(nanos -> ownersVersions.forEach((name, version) -> {
                    // A record that this process does not know yet may name another owner.
                    if (versions.getOrDefault(name, 0L) >= version) {
                        confirmedNanos.merge(name, nanos, Math::max);
                    }
                }));
    }

    /** Records that the control program of {@code host} guarantees not to take over for one lease. */
    public void successorAcknowledged(String host, long heartbeat) {
        sent.sentAt(heartbeat).ifPresent(nanos -> acknowledgedNanos.merge(host, nanos, Math::max));
    }

    /**
     * Updates to a newer ownership record; an older one is ignored.
     *
     * @param name record name
     * @param maxRequestNanos longest deadline of the endpoint's service, by endpoint id
     */
    public void ownersChanged(
            String name, long version, OwnersRecord record, ToLongFunction<String> maxRequestNanos, long nowNanos) {
        if (version <= versions.getOrDefault(name, 0L)) {
            return;
        }
        versions.put(name, version);
        Set<String> named = new HashSet<>();
        List<Release> awaited = new ArrayList<>();
        for (Ownership ownership : record.endpoints()) {
            if (ownership.owner().equals(self)) {
                named.add(ownership.endpoint());
                updateOwned(name, ownership, maxRequestNanos.applyAsLong(ownership.endpoint()), nowNanos);
            } else if (self.equals(ownership.previous())) {
                awaited.add(new Release(ownership.endpoint(), ownership.epoch()));
            }
        }
        awaitedReleases.put(name, awaited);
        owned.values()
                .removeIf(endpoint -> endpoint.recordName().equals(name)
                        && !named.contains(endpoint.ownership().endpoint()));
    }

    /** Returns how many of {@code allocated} slots this process may use now; requests in flight count against them. */
    public int permittedSlots(String endpoint, int allocated, long nowNanos) {
        OwnedEndpoint found = owned.get(endpoint);
        return found == null ? 0 : found.permittedSlots(allocated, isRenewed(found, nowNanos), nowNanos);
    }

    /**
     * Returns the ids of endpoints that this process must release: it owns them and a release is requested, or another
     * process took them over and waits until this process has no request in flight there.
     */
    public List<String> releaseRequested() {
        List<String> requested = new ArrayList<>();
        for (OwnedEndpoint endpoint : owned.values()) {
            if (endpoint.isReleaseRequested()) {
                requested.add(endpoint.ownership().endpoint());
            }
        }
        awaitedReleases.values().forEach(releases -> releases.forEach(release -> requested.add(release.endpoint())));
        return requested;
    }

    /**
     * Returns the releases to report in the next heartbeat: endpoints of {@link #releaseRequested} without a request in
     * flight. An endpoint whose wait after a takeover is not over is left out, because its new owner would not wait.
     *
     * @param inFlight requests of this process in flight, by endpoint id
     */
    public List<Release> released(ToIntFunction<String> inFlight, long nowNanos) {
        List<Release> releases = new ArrayList<>();
        for (OwnedEndpoint endpoint : owned.values()) {
            if (endpoint.isReleaseRequested() && !endpoint.isWaiting(nowNanos)) {
                Ownership ownership = endpoint.ownership();
                releases.add(new Release(ownership.endpoint(), ownership.epoch()));
            }
        }
        awaitedReleases.values().forEach(releases::addAll);
        releases.removeIf(release -> inFlight.applyAsInt(release.endpoint()) > 0);
        return releases;
    }

    /** Returns whether neither the platform nor any successor confirmed a heartbeat within the last lease. */
    public boolean isLeaseUnconfirmed(long nowNanos) {
        return confirmedNanos.values().stream().noneMatch(nanos -> isWithinLease(nanos, nowNanos))
                && acknowledgedNanos.values().stream().noneMatch(nanos -> isWithinLease(nanos, nowNanos));
    }

    private void updateOwned(String name, Ownership ownership, long maxRequestNanos, long nowNanos) {
        OwnedEndpoint known = owned.get(ownership.endpoint());
        if (known != null && known.ownership().epoch() > ownership.epoch()) {
            throw new CarawayliftException(
                    ResultCode.INVARIANT_VIOLATED,
                    "epoch of endpoint " + ownership.endpoint() + " decreased to " + ownership.epoch());
        }
        if (known != null && known.ownership().epoch() == ownership.epoch()) {
            known.update(ownership, maxRequestNanos, nowNanos);
        } else {
            owned.put(ownership.endpoint(), new OwnedEndpoint(name, ownership, maxRequestNanos, durations, nowNanos));
        }
    }

    private boolean isRenewed(OwnedEndpoint endpoint, long nowNanos) {
        Long confirmed = confirmedNanos.get(endpoint.recordName());
        String successor = endpoint.ownership().successor();
        Long acknowledged = successor == null ? null : acknowledgedNanos.get(successor);
        return (confirmed != null && isWithinLease(confirmed, nowNanos))
                || (acknowledged != null && isWithinLease(acknowledged, nowNanos));
    }

    private boolean isWithinLease(long sentNanos, long nowNanos) {
        return nowNanos - sentNanos < durations.leaseNanos();
    }
}
