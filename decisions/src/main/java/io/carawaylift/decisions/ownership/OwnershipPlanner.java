package io.carawaylift.decisions.ownership;

import io.carawaylift.decisions.membership.RegionMembers;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.Table;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Plans the members and endpoint owners of one failure domain. Times are monotonic nanoseconds of one clock. Not
 * thread-safe.
 *
 * <p>Every process that runs as reporter has its own planner. The state kept between plans only delays changes, so a
 * new planner is as safe as an old one.
 */
public final class OwnershipPlanner {
    private record ObservedEpoch(long epoch, long sinceNanos) {}

    private final String failureDomain;
    private final String region;
    private final LeaseDurations durations;
    private final Map<String, ObservedEpoch> epochs = new HashMap<>();

    /** Creates the planner of a failure domain. */
    public OwnershipPlanner(String failureDomain, String region, LeaseDurations durations) {
        this.failureDomain = failureDomain;
        this.region = region;
        this.durations = durations;
    }

    /**
     * Returns the update to send, or empty if the record needs no change.
     *
     * <p>Read {@code owners/} of this failure domain from the platform first, then {@code hosts/} of the region from
     * the platform. A list older than the record could lack a host that the record already names, and the host would be
     * treated as removed.
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
            RegionMembers members,
            Table table,
            long nowNanos) {
        Optional<EndpointList> own = lists.stream()
                .filter(list -> list.failureDomain().equals(failureDomain))
                .findFirst();
        if (own.isEmpty()) {
            return Optional.empty();
        }
        List<Ownership> before = current == null ? List.of() : current.endpoints();
        before.forEach(entry -> observeEpoch(entry, nowNanos));
        PlanView view = new PlanView(failureDomain, own.get(), lists, members, nowNanos);
        OwnershipPlan plan =
                new OwnershipPlan(view, version + 1, entry -> mayBecomeFull(entry, own.get(), table, nowNanos));
        List<Member> planned = plannedMembers(current, view);
        OwnersRecord next = new OwnersRecord(failureDomain, region, planned, plan.endpoints(before));
        if (next.equals(current) || (current == null && next.members().isEmpty())) {
            return Optional.empty();
        }
        OwnersValidator.validate(current, next);
        return Optional.of(new OwnersWrite(RecordNames.owners(failureDomain), version, next));
    }

    private void observeEpoch(Ownership entry, long nowNanos) {
        ObservedEpoch known = epochs.get(entry.endpoint());
        if (known == null || known.epoch() != entry.epoch()) {
            epochs.put(entry.endpoint(), new ObservedEpoch(entry.epoch(), nowNanos));
        }
    }

    /**
     * Returns whether no request of an owner between {@code previous} and the current one can be in flight any more.
     * Such an owner had half of the slots, and none without a confirmed lease, but the entry does not name it any more.
     * This planner waits for its lease, the clock margin and its longest request.
     */
    private boolean mayBecomeFull(Ownership entry, EndpointList list, Table table, long nowNanos) {
        long wait = durations.leaseNanos()
                + durations.clockMarginNanos()
                + MaxRequestDuration.nanos(entry.endpoint(), list, table);
        return nowNanos - epochs.get(entry.endpoint()).sinceNanos() >= wait;
    }

    private List<Member> plannedMembers(OwnersRecord current, PlanView view) {
        Map<EntryProcess, Member> planned = new HashMap<>();
        if (current != null) {
            current.members().forEach(member -> planned.put(member.process(), member));
        }
        view.members().forEach(member -> planned.put(member.process(), member));
        List<Member> result = new ArrayList<>(planned.values());
        result.removeIf(member -> view.isTerminated(member.process()) || !view.isListed(member));
        result.sort(Comparator.comparing(member -> member.process().host()));
        return result;
    }
}
