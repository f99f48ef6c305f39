package io.carawaylift.decisions.ownership;

import io.carawaylift.decisions.membership.DomainMembers;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Table;
import java.util.Collection;
import java.util.Optional;

/**
 * Plans the members and endpoint owners of one failure domain. Times are monotonic nanoseconds of one clock. Not
 * thread-safe.
 *
 * <p>Every process that runs as reporter has one; its memory only delays, so a new planner is as safe as an old one.
 */
public final class OwnershipPlanner {
    /** Creates the planner of a failure domain. */
    public OwnershipPlanner(String failureDomain, String region, LeaseTimes times) {
        throw new UnsupportedOperationException();
    }

    /**
     * Returns the update to send, or empty if the record is as wanted.
     *
     * <p>Order of reads: first {@code owners/} of this failure domain from the platform, then {@code hosts/} of the region
     * from the platform. A list older than the record could lack a host that the record already names, and the host
     * would be taken for gone.
     *
     * @param version version of {@code current}, 0 if the record does not exist
     * @param current the record, null if it does not exist
     * @param lists endpoint lists of all failure domains of the region
     * @param table table in force
     */
    public Optional<OwnersWrite> plan(
            long version,
            OwnersRecord current,
            Collection<EndpointList> lists,
            DomainMembers members,
            Table table,
            long nowNanos) {
        throw new UnsupportedOperationException();
    }
}
