package io.carawaylift.decisions.ownership;

import io.carawaylift.decisions.membership.RegionMembers;
import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.Release;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** A planner's view of endpoints and members at one time. */
final class PlanView {
    private final String failureDomain;
    private final EndpointList list;
    private final Collection<EndpointList> lists;
    private final RegionMembers members;
    private final List<Member> live;
    private final long nowNanos;

    PlanView(
            String failureDomain,
            EndpointList list,
            Collection<EndpointList> lists,
            RegionMembers members,
            long nowNanos) {
        this.failureDomain = failureDomain;
        this.list = list;
        this.lists = lists;
        this.members = members;
        this.live = members.live(nowNanos).stream()
                .filter(this::isListed)
                .filter(member -> member.state() == MemberState.ACTIVE)
                .toList();
        this.nowNanos = nowNanos;
    }

    List<Member> members() {
        return members.members(failureDomain, nowNanos);
    }

    /** Returns the live and active members of the region. */
    List<Member> live() {
        return live;
    }

    /** Returns the possible owners: live members of the failure domain, or of the region if it has none. */
    List<EntryProcess> candidates() {
        List<EntryProcess> own = live.stream()
                .filter(member -> member.failureDomain().equals(failureDomain))
                .map(Member::process)
                .toList();
        return own.isEmpty() ? live.stream().map(Member::process).toList() : own;
    }

    /** Returns whether the platform lists the host. Only listed hosts get roles, so a missing one was removed. */
    boolean isListed(Member member) {
        return lists.stream()
                .anyMatch(known -> known.entryHosts().contains(member.process().host()));
    }

    boolean isTerminated(EntryProcess process) {
        return members.isTerminated(process, lists);
    }

    boolean isHostRemoved(String host) {
        return members.isHostRemoved(host, lists);
    }

    /** Returns whether the process has reported the state LEAVING, whether or not it is live. */
    boolean isDraining(EntryProcess process) {
        return members.report(process)
                .filter(report -> report.member().state() == MemberState.LEAVING)
                .isPresent();
    }

    /** Returns whether the process has reported that it stopped dispatching under the entry's epoch. */
    boolean hasReleased(EntryProcess process, Ownership entry) {
        Release release = new Release(entry.endpoint(), entry.epoch());
        return members.report(process)
                .map(MemberReport::released)
                .filter(releases -> releases.contains(release))
                .isPresent();
    }

    List<Endpoint> endpoints() {
        return list.endpoints();
    }

    /** Returns the upstream of an endpoint, or an empty string if it is no longer listed. */
    String upstream(String endpoint) {
        return listed(endpoint).map(Endpoint::upstream).orElse("");
    }

    Optional<Endpoint> listed(String endpoint) {
        return list.endpoints().stream()
                .filter(known -> known.id().equals(endpoint))
                .findFirst();
    }

    /** Returns the failure domain of a process, null if unknown. */
    String domainOf(EntryProcess process) {
        return members.report(process)
                .map(report -> report.member().failureDomain())
                .orElse(null);
    }
}
