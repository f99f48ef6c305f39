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

/**
 * Relays heartbeats of this host, and acknowledges those of other hosts as their successor. Used on the decision thread
 * only.
 */
final class HeartbeatRelay {
    private final ControlState state;
    private Member localMember;

    HeartbeatRelay(ControlState state) {
        this.state = state;
    }

    /**
     * Returns the entry process of this host as in its last heartbeat; empty if there was none or the process
     * terminated.
     */
    Optional<Member> localMember() {
        return Optional.ofNullable(localMember);
    }

    /** Relays a heartbeat of this host's entry process to the agents and to the successors of its endpoints. */
    void relayLocal(MemberReport report) {
        localMember = report.member();
        long now = state.loop().nowNanos();
        state.members().heartbeatReceived(report, now);
        state.members()
                .agents(state.host().failureDomain(), now)
                .forEach(host -> state.members().replyExpected(host, now));
        for (String host : targets(report.member(), now)) {
            state.peers().send(host, new Message.Heartbeat(report));
        }
    }

    /** Processes a heartbeat relayed by another control program, and acknowledges it if this host is a successor. */
    void receiveRelayed(Connection connection, MemberReport report) {
        long now = state.loop().nowNanos();
        state.members().heartbeatReceived(report, now);
        state.peers().updateAddress(report.member());
        EntryProcess owner = report.member().process();
        state.takeovers()
                .heartbeatReceived(owner, report.heartbeat(), now)
                .ifPresent(acknowledgement -> connection.send(new Message.HeartbeatAcknowledged(
                        acknowledgement.owner(),
                        acknowledgement.successor(),
                        acknowledgement.heartbeat(),
                        acknowledgement.ownersVersions())));
    }

    /** Removes the entry process of this host after it terminated. */
    void processEnded(EntryProcess process) {
        if (localMember != null && localMember.process().equals(process)) {
            localMember = null;
        }
    }

    /**
     * Returns the hosts that receive a heartbeat. Agents send theirs to all members of the failure domain, which would
     * otherwise consider the agent unreachable and each become an agent themselves.
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

    private static Stream<Ownership> ownedBy(EntryProcess process, Records.VersionedOwners owners) {
        return owners.record().endpoints().stream().filter(ownership -> process.equals(ownership.owner()));
    }
}
