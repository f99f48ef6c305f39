package io.carawaylift.decisions.membership;

import io.carawaylift.decisions.ownership.LeaseTimes;
import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.OwnersRecord;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * What one control program knows about the members of its region: newest heartbeats, liveness and ended processes. Times are
 * monotonic nanoseconds of one clock. Not thread-safe.
 *
 * <p>A member is live for one lease after its heartbeat number was last seen to rise, directly or in a record
 * {@code domain/}.
 */
public final class DomainMembers {
    /** Creates the view of a control program in {@code failureDomain} of {@code region}, which knows no member yet. */
    public DomainMembers(String failureDomain, String region, LeaseTimes times) {
        throw new UnsupportedOperationException();
    }

    /** Takes a heartbeat of a member of this region; one of another region or an older one is ignored. */
    public void heartbeatReceived(MemberReport report, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Merges a record {@code domain/} of this region as read from the platform. */
    public void domainRead(DomainRecord record, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Takes the members that a record {@code owners/} names; a member not heard of counts as live for one lease. */
    public void ownersRead(OwnersRecord record, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Records that the control program of the process's host saw its process id disappear. */
    public void processEnded(String failureDomain, EntryProcess process) {
        throw new UnsupportedOperationException();
    }

    /** Returns the host that reports for a failure domain; empty if the region has no live member. */
    public Optional<String> reporter(String failureDomain, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Returns the at most two live hosts with the lowest ids of a failure domain, which hold its watches. */
    public List<String> agents(String failureDomain, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Returns the record that {@code reporter} writes for a failure domain. */
    public DomainRecord toWrite(String failureDomain, String reporter, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Returns the failure domains of the region that have or had members. */
    public List<String> failureDomains() {
        throw new UnsupportedOperationException();
    }

    /** Returns the members of a failure domain that are not ended, by host id; a member that is not live is SUSPECTED. */
    public List<Member> members(String failureDomain, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Returns the live members of the whole region, by host id. */
    public List<Member> live(long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Returns the newest report of a process, empty if it is not the newest of its host or unknown. */
    public Optional<MemberReport> report(EntryProcess process) {
        throw new UnsupportedOperationException();
    }

    /** Returns whether the process is listed as ended or a newer incarnation of its host has reported. */
    public boolean hasEnded(EntryProcess process) {
        throw new UnsupportedOperationException();
    }

    /**
     * Returns whether the process is confirmed gone: ended, or its host is missing from the region's lists. The lists must be
     * newer than the {@code owners/} record that names the process, see
     * {@link io.carawaylift.decisions.ownership.OwnershipPlanner#plan}.
     */
    public boolean isGone(EntryProcess process, Collection<EndpointList> lists) {
        throw new UnsupportedOperationException();
    }
}
