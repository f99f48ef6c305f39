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

/** Entry program: sends heartbeats and keeps every permitted slot busy. */
final class SimulatedEntry extends SimulatedProcess {
    private static final long DISPATCH_INTERVAL = 50_000_000L;

    private final OwnershipWorld world;
    private final LeaseGuard guard;
    private final String host;
    private Member member;
    private final Map<String, EntryProcess> owners = new HashMap<>();
    private long heartbeat;

    SimulatedEntry(OwnershipWorld world, Member member, double rate, long offset) {
        super(world.events(), rate, offset);
        this.world = world;
        this.member = member;
        this.host = member.process().host();
        this.guard = new LeaseGuard(member.process(), LeaseDurations.DEFAULT);
        handleEvery(LeaseDurations.DEFAULT.heartbeatIntervalNanos(), this::sendHeartbeat);
        handleEvery(DISPATCH_INTERVAL, this::dispatch);
    }

    Member member() {
        return member;
    }

    void leave() {
        member = member.withState(MemberState.LEAVING);
    }

    void ownersChanged(String name, long version, OwnersRecord record) {
        record.endpoints().forEach(entry -> owners.put(entry.endpoint(), entry.owner()));
        guard.ownersChanged(
                name,
                version,
                world.has(SimulatedRule.WAIT_AFTER_TAKEOVER) ? record : withoutWait(record),
                endpoint -> OwnershipWorld.HOLD,
                clock());
    }

    void platformConfirmed(long number, Map<String, Long> versions) {
        guard.platformConfirmed(number, versions);
    }

    void successorAcknowledged(String successor, long number) {
        guard.successorAcknowledged(successor, number);
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
        world.toControl(host, control -> control.entryHeartbeat(report));
    }

    private List<Release> released() {
        List<Release> releases = guard.released(id -> world.endpoint(id).inFlight(member.process()), clock());
        return world.has(SimulatedRule.RELEASE_BY_EARLIER_OWNER)
                ? releases
                : releases.stream()
                        .filter(release -> member.process().equals(owners.get(release.endpoint())))
                        .toList();
    }

    private void dispatch() {
        for (SimulatedEndpoint endpoint : world.endpoints()) {
            int permitted =
                    permittedSlots(endpoint.endpoint().id(), endpoint.endpoint().slots());
            while (endpoint.inFlight(member.process()) < permitted) {
                endpoint.start(member.process(), events().now());
                // The upstream works on after the death of the process, so its end is no event of the process.
                events().after(world.requestDuration(), () -> endpoint.end(member.process()));
            }
        }
    }
}
