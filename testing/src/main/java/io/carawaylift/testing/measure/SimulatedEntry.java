package io.carawaylift.testing.measure;

import io.carawaylift.decisions.ownership.LeaseDurations;
import io.carawaylift.decisions.ownership.LeaseGuard;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.Release;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulates the entry program of one host, which sends heartbeats and occupies every slot that it may use. */
final class SimulatedEntry extends SimulatedProcess {
    private static final long DISPATCH_INTERVAL_NANOS = 50_000_000L;

    private final SimulatedRegion region;
    private final LeaseGuard guard;
    private final String host;
    private Member member;
    private final Map<String, EntryProcess> owners = new HashMap<>();
    private long heartbeat;

    SimulatedEntry(SimulatedRegion region, Member member, double rate, long offset) {
        super(region.events(), rate, offset);
        this.region = region;
        this.member = member;
        this.host = member.process().host();
        this.guard = new LeaseGuard(member.process(), LeaseDurations.DEFAULT);
        handleEvery(LeaseDurations.DEFAULT.heartbeatIntervalNanos(), this::sendHeartbeat);
        handleEvery(DISPATCH_INTERVAL_NANOS, this::dispatch);
    }

    Member member() {
        return member;
    }

    void drain() {
        member = member.withState(MemberState.LEAVING);
    }

    void ownersChanged(String name, long version, OwnersRecord record) {
        record.endpoints().forEach(entry -> owners.put(entry.endpoint(), entry.owner()));
        guard.ownersChanged(
                name,
                version,
                region.isEnabled(SimulatedRule.WAIT_AFTER_TAKEOVER) ? record : withoutWait(record),
                endpoint -> SimulatedRegion.MAX_DEADLINE_NANOS,
                clock());
    }

    void platformConfirmed(long heartbeatNumber, Map<String, Long> versions) {
        guard.platformConfirmed(heartbeatNumber, versions);
    }

    void successorAcknowledged(String successor, long heartbeatNumber) {
        guard.successorAcknowledged(successor, heartbeatNumber);
    }

    int permittedSlots(String endpoint, int slots) {
        return guard.permittedSlots(endpoint, slots, clock());
    }

    private static OwnersRecord withoutWait(OwnersRecord record) {
        List<Ownership> endpoints = record.endpoints().stream()
                .map(entry -> new Ownership(
                        entry.endpoint(),
                        entry.owner(),
                        entry.successor(),
                        entry.epoch(),
                        entry.mode(),
                        false,
                        entry.previous(),
                        entry.next()))
                .toList();
        return new OwnersRecord(record.failureDomain(), record.region(), record.members(), endpoints);
    }

    private void sendHeartbeat() {
        heartbeat++;
        guard.heartbeatSent(heartbeat, clock());
        MemberReport report = new MemberReport(member, heartbeat, 1, released(), List.of());
        region.sendToControl(host, control -> control.entryHeartbeat(report));
    }

    private List<Release> released() {
        List<Release> releases = guard.released(id -> region.endpoint(id).inFlight(member.process()), clock());
        return region.isEnabled(SimulatedRule.RELEASE_BY_EARLIER_OWNER)
                ? releases
                : releases.stream()
                        .filter(release -> member.process().equals(owners.get(release.endpoint())))
                        .toList();
    }

    private void dispatch() {
        for (SlotCheckingEndpoint endpoint : region.endpoints()) {
            int permitted =
                    permittedSlots(endpoint.endpoint().id(), endpoint.endpoint().slots());
            while (endpoint.inFlight(member.process()) < permitted) {
                endpoint.requestStarted(member.process(), events().nowNanos());
                // The upstream finishes the request even if this process terminates, so the event is not bound to it.
                events().schedule(region.randomRequestDuration(), () -> endpoint.requestEnded(member.process()));
            }
        }
    }
}
