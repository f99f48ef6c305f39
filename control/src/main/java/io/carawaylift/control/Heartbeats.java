package io.carawaylift.control;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.Ownership;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Relays heartbeats and answers those of other hosts as a successor. Used on the decision thread only. */
final class Heartbeats {
    private final ControlState state;
    private Member self;

    Heartbeats(ControlState state) {
        this.state = state;
    }

    /** Returns the entry process of this host as its last heartbeat stated it, empty if there was none or it ended. */
    Optional<Member> self() {
        return Optional.ofNullable(self);
    }

    /** Relays a heartbeat of this host's entry process to the agents and the successors of its endpoints. */
    void local(MemberReport report) {
        self = report.member();
        long now = state.loop().nowNanos();
        state.members().heartbeatReceived(report, now);
        state.members()
                .agents(state.host().failureDomain(), now)
                .forEach(host -> state.members().replyExpected(host, now));
        for (String host : targets(report.member(), now)) {
            state.peers().send(host, new Message.Heartbeat(report));
        }
    }

    /** Takes a heartbeat that another control program relayed. */
    void relayed(Connection connection, MemberReport report) {
        long now = state.loop().nowNanos();
        state.members().heartbeatReceived(report, now);
        state.peers().learn(report.member());
        EntryProcess owner = report.member().process();
        state.takeovers()
                .heartbeatReceived(owner, report.heartbeat(), now)
                .ifPresent(promise -> connection.send(new Message.HeartbeatAcknowledged(
                        promise.owner(), promise.successor(), promise.heartbeat(), promise.ownersVersions())));
    }

    /** Forgets the entry process of this host after it ended. */
    void ended(EntryProcess process) {
        if (self != null && self.process().equals(process)) {
            self = null;
        }
    }

    /**
     * Agents send theirs to all members of the failure domain, who would otherwise not learn that an agent is live and
     * would each take its place.
     */
    private Set<String> targets(Member member, long now) {
        Set<String> targets = successorsOf(member.process());
        targets.addAll(state.members().agents(member.failureDomain(), now));
        if (state.isAgent()) {
            for (Member other : state.members().live(now)) {
                if (other.failureDomain().equals(member.failureDomain())) {
                    targets.add(other.process().host());
                }
            }
        }
        targets.remove(member.process().host());
        return targets;
    }

    /** Returns the successor hosts of the endpoints that a process owns. */
    Set<String> successorsOf(EntryProcess process) {
        Set<String> hosts = new HashSet<>();
        state.records()
                .regionOwners()
                .values()
                .forEach(owners -> ownedBy(process, owners)
                        .map(Ownership::successor)
                        .filter(Objects::nonNull)
                        .forEach(hosts::add));
        return hosts;
    }

    private static Stream<Ownership> ownedBy(EntryProcess process, Records.Owners owners) {
        return owners.record().endpoints().stream().filter(ownership -> process.equals(ownership.owner()));
    }
}
