package io.carawaylift.decisions.membership;

import io.carawaylift.decisions.ownership.LeaseDurations;
import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One control program's view of the members of its region: newest heartbeats, liveness and ended processes. Times are
 * monotonic nanoseconds of one clock. Not thread-safe.
 *
 * <p>A member is live for one lease after its last contact: its heartbeat arrived, its heartbeat number rose in a
 * record {@code domain/}, or its control program replied. A member known only from a record counts as live until this
 * control program expects contact with it; from then on it has one lease.
 */
public final class RegionMembers {
    private static final int MAX_AGENTS = 2;

    private final String region;
    private final LeaseDurations durations;
    private final Map<String, MemberView> byHost = new TreeMap<>();
    private final Map<String, OwnersRecord> owners = new HashMap<>();
    private final EndedProcesses ended = new EndedProcesses();
    private final Set<String> failureDomains = new TreeSet<>();

    /** Creates the view of a control program in {@code failureDomain} of {@code region}, without members. */
    public RegionMembers(String failureDomain, String region, LeaseDurations durations) {
        this.region = region;
        this.durations = durations;
        failureDomains.add(failureDomain);
    }

    /** Applies a heartbeat of a member; one of another region or an older one is ignored. */
    public void heartbeatReceived(MemberReport report, long nowNanos) {
        if (isOfRegion(report.member()) && isNewest(report.member())) {
            MemberView view = byHost.get(report.member().process().host());
            if (view == null) {
                view = MemberView.ofHeartbeat(report, nowNanos);
                byHost.put(report.member().process().host(), view);
            }
            view.update(report, nowNanos);
        }
    }

    /** Records that the control program of a host replied, so its entry process can be reached through it. */
    public void replyReceived(String host, long nowNanos) {
        MemberView view = byHost.get(host);
        if (view != null) {
            view.contacted(nowNanos);
        }
    }

    /** Records that this control program sends heartbeats to a host and expects replies from now on. */
    public void replyExpected(String host, long nowNanos) {
        MemberView view = byHost.get(host);
        if (view != null) {
            view.expectContact(nowNanos);
        }
    }

    /** Merges a record {@code domain/} of this region as read from the platform. */
    public void domainRead(DomainRecord record, long nowNanos) {
        failureDomains.add(record.failureDomain());
        record.ended().forEach(process -> ended.add(record.failureDomain(), process));
        record.members().forEach(report -> heartbeatReceived(report, nowNanos));
        expectContactFrom(record.failureDomain(), nowNanos);
        dropEnded();
    }

    /** Adds the members that a record {@code owners/} names; a member without contact so far counts as live. */
    public void ownersRead(OwnersRecord record, long nowNanos) {
        failureDomains.add(record.failureDomain());
        OwnersRecord before = owners.put(record.failureDomain(), record);
        for (Member member : record.members()) {
            if (isOfRegion(member) && isNewest(member)) {
                addListedMember(before, member);
            }
        }
    }

    /** Records that the control program on the host of the process found its process id terminated. */
    public void processEnded(String failureDomain, EntryProcess process) {
        ended.add(failureDomain, process);
        dropEnded();
    }

    /** Returns the host that reports for a failure domain; empty if the region has no live member. */
    public Optional<String> reporter(String failureDomain, long nowNanos) {
        List<Member> all = live(nowNanos);
        return all.stream()
                .filter(member -> member.failureDomain().equals(failureDomain))
                .findFirst()
                .or(() -> all.stream().findFirst())
                .map(member -> member.process().host());
    }

    /** Returns the at most two live hosts of a failure domain with the lowest ids, which run its watches. */
    public List<String> agents(String failureDomain, long nowNanos) {
        return live(nowNanos).stream()
                .filter(member -> member.failureDomain().equals(failureDomain))
                .limit(MAX_AGENTS)
                .map(member -> member.process().host())
                .toList();
    }

    /**
     * Returns the record that {@code reporter} writes for a failure domain. The version on which the write is
     * conditional must have been merged with {@link #domainRead} before, so that no heartbeat number decreases.
     */
    public DomainRecord toWrite(String failureDomain, String reporter, long nowNanos) {
        expectContactFrom(failureDomain, nowNanos);
        List<MemberReport> reports = new ArrayList<>();
        for (MemberView view : viewsOf(failureDomain, nowNanos)) {
            MemberReport report = view.report();
            reports.add(new MemberReport(
                    withObservedState(view, nowNanos),
                    report.heartbeat(),
                    report.tableVersion(),
                    report.released(),
                    report.measures()));
        }
        return new DomainRecord(failureDomain, reporter, reports, ended.toWrite(failureDomain, namedProcesses()));
    }

    /** Returns the failure domains of the region that have or had members. */
    public List<String> failureDomains() {
        return List.copyOf(failureDomains);
    }

    /**
     * Returns the members of a failure domain that have not ended, by host id; a member that is not live is SUSPECTED.
     */
    public List<Member> members(String failureDomain, long nowNanos) {
        return viewsOf(failureDomain, nowNanos).stream()
                .map(view -> withObservedState(view, nowNanos))
                .toList();
    }

    /** Returns the live members of the whole region, by host id. */
    public List<Member> live(long nowNanos) {
        return byHost.values().stream()
                .filter(view -> view.isLive(nowNanos, durations.leaseNanos()))
                .map(view -> withObservedState(view, nowNanos))
                .toList();
    }

    /** Returns the newest report of a process, empty if the process is unknown or not the newest of its host. */
    public Optional<MemberReport> report(EntryProcess process) {
        return Optional.ofNullable(byHost.get(process.host()))
                .map(MemberView::report)
                .filter(report -> report.member().process().equals(process));
    }

    /** Returns whether the process is listed as ended or a newer incarnation of its host has reported. */
    public boolean hasEnded(EntryProcess process) {
        if (ended.contains(process)) {
            return true;
        }
        MemberView view = byHost.get(process.host());
        return view != null && view.member().process().incarnation() > process.incarnation();
    }

    /**
     * Returns whether the process is confirmed terminated: it has ended, or its host is missing from the region's
     * lists. The lists must be newer than the {@code owners/} record that names the process, see {@link
     * io.carawaylift.decisions.ownership.OwnershipPlanner#plan}.
     */
    public boolean isTerminated(EntryProcess process, Collection<EndpointList> lists) {
        return hasEnded(process) || isHostRemoved(process.host(), lists);
    }

    /**
     * Returns whether a host is missing from the region's lists; false if the list of its failure domain is missing.
     */
    public boolean isHostRemoved(String host, Collection<EndpointList> lists) {
        if (lists.stream().anyMatch(list -> list.entryHosts().contains(host))) {
            return false;
        }
        MemberView view = byHost.get(host);
        Set<String> listed = new HashSet<>();
        lists.forEach(list -> listed.add(list.failureDomain()));
        return view == null
                ? listed.containsAll(failureDomains)
                : listed.contains(view.member().failureDomain());
    }

    private void addListedMember(OwnersRecord before, Member member) {
        MemberView view = byHost.get(member.process().host());
        if (view == null) {
            byHost.put(
                    member.process().host(), MemberView.ofRecord(new MemberReport(member, 0, 0, List.of(), List.of())));
        } else if (before != null) {
            before.members().stream()
                    .filter(old -> old.process().equals(member.process()))
                    .forEach(old -> view.updateState(old.state(), member.state()));
        }
    }

    /**
     * Returns whether no newer process of the host is known; a known older process is recorded as ended and dropped.
     */
    private boolean isNewest(Member member) {
        EntryProcess process = member.process();
        MemberView view = byHost.get(process.host());
        if (ended.contains(process)) {
            return false;
        }
        if (view == null || view.member().process().equals(process)) {
            return true;
        }
        EntryProcess known = view.member().process();
        if (known.incarnation() > process.incarnation()) {
            return false;
        }
        ended.add(view.member().failureDomain(), known);
        byHost.remove(process.host());
        return true;
    }

    private void dropEnded() {
        byHost.values().removeIf(view -> ended.contains(view.member().process()));
    }

    private void expectContactFrom(String failureDomain, long nowNanos) {
        byHost.values().stream()
                .filter(view -> view.member().failureDomain().equals(failureDomain))
                .forEach(view -> view.expectContact(nowNanos));
    }

    /** Returns the views of live members and of members that the failure domain's ownership record still names. */
    private List<MemberView> viewsOf(String failureDomain, long nowNanos) {
        OwnersRecord record = owners.get(failureDomain);
        return byHost.values().stream()
                .filter(view -> view.member().failureDomain().equals(failureDomain))
                .filter(view -> view.isLive(nowNanos, durations.leaseNanos()) || isListed(record, view))
                .toList();
    }

    private static boolean isListed(OwnersRecord record, MemberView view) {
        return record != null
                && record.members().stream()
                        .anyMatch(
                                member -> member.process().equals(view.member().process()));
    }

    private Member withObservedState(MemberView view, long nowNanos) {
        Member member = view.member();
        return view.isLive(nowNanos, durations.leaseNanos()) ? member : member.withState(MemberState.SUSPECTED);
    }

    private Set<EntryProcess> namedProcesses() {
        Set<EntryProcess> named = new HashSet<>();
        for (OwnersRecord record : owners.values()) {
            record.members().forEach(member -> named.add(member.process()));
            for (Ownership ownership : record.endpoints()) {
                named.add(ownership.owner());
                named.add(ownership.previous());
                named.add(ownership.next());
            }
        }
        return named;
    }

    private boolean isOfRegion(Member member) {
        return member.region().equals(region);
    }
}
