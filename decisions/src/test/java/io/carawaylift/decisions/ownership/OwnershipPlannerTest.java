package io.carawaylift.decisions.ownership;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.membership.RegionMembers;
import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import io.carawaylift.model.Rank;
import io.carawaylift.model.RegionRow;
import io.carawaylift.model.Release;
import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class OwnershipPlannerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Table TABLE = Table.builder()
            .put(new RegionRow("r1", 1, 0))
            .put(new ServiceRow("svc", Rank.STANDARD, List.of("GET"), 3_000))
            .put(new UpstreamRow("up", "svc", "r1", "fd1", 1, 0, false))
            .build();

    private final RegionMembers members = new RegionMembers("fd1", "r1", LeaseDurations.DEFAULT);
    private final OwnershipPlanner planner = new OwnershipPlanner("fd1", "r1", LeaseDurations.DEFAULT);
    private List<String> hosts = List.of("a", "b", "s");
    private int endpoints = 4;
    private long version;
    private OwnersRecord record;

    /** Guards against owners outside the failure domain and against successors that fail together with the owner. */
    @Test
    void firstOwnersAreInTheFailureDomainAndSuccessorsOutside() {
        receiveHeartbeat("a", "fd1", 1);
        receiveHeartbeat("b", "fd1", 1);
        receiveHeartbeat("s", "fd2", 1);
        applyPlan(0);
        assertThat(ownedCount("a")).isEqualTo(2);
        assertThat(ownedCount("b")).isEqualTo(2);
        assertThat(record.endpoints().stream()
                        .map(Ownership::successor)
                        .distinct()
                        .toList())
                .containsExactly("s");
        assertThat(planUpdate(0)).isEqualTo(Optional.empty());
    }

    /** Guards against more transfers than needed for balance, and against transfers without a release. */
    @Test
    void joiningMemberGetsItsShareAfterRelease() {
        receiveHeartbeat("a", "fd1", 1);
        applyPlan(0);
        receiveHeartbeat("b", "fd1", 1);
        applyPlan(0);
        List<Ownership> moving = record.endpoints().stream()
                .filter(entry -> entry.next() != null)
                .toList();
        assertThat(moving).hasSize(2);
        assertThat(ownedCount("a")).isEqualTo(4);
        Ownership first = moving.get(0);
        receiveHeartbeat("a", "fd1", 2, new Release(first.endpoint(), first.epoch() - 1));
        assertThat(planUpdate(0)).isEqualTo(Optional.empty());
        receiveHeartbeat("a", "fd1", 3, new Release(first.endpoint(), first.epoch()));
        applyPlan(0);
        Ownership moved = record.ownership(first.endpoint()).orElseThrow();
        assertThat(moved.owner().host()).isEqualTo("b");
        assertThat(moved.epoch()).isGreaterThan(first.epoch());
        assertThat(moved.takenOver()).isFalse();
    }

    /** Guards against withdrawing a release request after the owner may have released the endpoint. */
    @Test
    void requestWithoutAnotherTargetIsRedirectedToTheOwner() {
        receiveHeartbeat("a", "fd1", 1);
        applyPlan(0);
        receiveHeartbeat("b", "fd1", 1);
        applyPlan(0);
        members.processEnded("fd1", new EntryProcess("b", 1));
        applyPlan(0);
        Ownership entry = record.endpoints().stream()
                .filter(listed -> listed.next() != null)
                .findFirst()
                .orElseThrow();
        assertThat(entry.next()).isEqualTo(entry.owner());
    }

    /**
     * Guards against treating a host as removed before the lagging list has named it, and against keeping it
     * afterwards.
     */
    @Test
    void hostsGetRolesOnceListedAndLoseThemWhenRemoved() {
        hosts = List.of("a");
        receiveHeartbeat("a", "fd1", 1);
        receiveHeartbeat("b", "fd1", 1);
        applyPlan(0);
        assertThat(ownedCount("b")).isEqualTo(0);
        assertThat(record.members()).hasSize(1);
        hosts = List.of("b");
        applyPlan(0);
        assertThat(ownedCount("b")).isEqualTo(4);
        assertThat(record.endpoints().get(0).mode()).isEqualTo(OwnershipMode.FULL);
        assertThat(record.endpoints().get(0).takenOver()).isTrue();
    }

    /**
     * Guards against using all slots while requests of an owner between the earlier and the current one may be in
     * flight.
     */
    @Test
    void halfBecomesFullOnlyAfterLeaseMarginAndLongestRequest() {
        endpoints = 1;
        EntryProcess earlier = new EntryProcess("z", 1);
        receiveHeartbeat("a", "fd1", 1);
        applyPlan(0);
        record = new OwnersRecord(
                "fd1",
                "r1",
                record.members(),
                List.of(new Ownership(
                        "e0", new EntryProcess("a", 1), null, 9, OwnershipMode.HALF, true, earlier, null)));
        members.processEnded("fd1", earlier);
        assertThat(planUpdate(SECOND)).isEqualTo(Optional.empty());
        receiveHeartbeat("a", "fd1", 2);
        applyPlan(11 * SECOND);
        assertThat(record.endpoints().get(0).mode()).isEqualTo(OwnershipMode.FULL);
        assertThat(record.endpoints().get(0).previous()).isNull();
    }

    /** Guards against a new owner that starts without waiting after an endpoint was removed and is listed again. */
    @Test
    void endpointIsRemovedOnlyAfterItsOwnerReleasedIt() {
        endpoints = 1;
        receiveHeartbeat("a", "fd1", 1);
        applyPlan(0);
        endpoints = 0;
        applyPlan(0);
        Ownership releasing = record.endpoints().get(0);
        assertThat(releasing.next()).isEqualTo(releasing.owner());
        receiveHeartbeat("a", "fd1", 2, new Release("e0", releasing.epoch()));
        applyPlan(0);
        assertThat(record.endpoints()).isEmpty();
        endpoints = 1;
        applyPlan(0);
        assertThat(record.endpoints().get(0).epoch()).isGreaterThan(releasing.epoch());
    }

    private void applyPlan(long nowNanos) {
        OwnersWrite write = planUpdate(nowNanos).orElseThrow();
        record = write.record();
        version++;
        members.ownersRead(record, nowNanos);
    }

    private Optional<OwnersWrite> planUpdate(long nowNanos) {
        List<Endpoint> listed = IntStream.range(0, endpoints)
                .mapToObj(i -> new Endpoint("e" + i, "up", "", 4, 10, false))
                .toList();
        EndpointList own = new EndpointList("fd1", "r1", listed, hosts);
        EndpointList other = new EndpointList("fd2", "r1", List.of(), hosts);
        return planner.plan(version, record, new ArrayList<>(List.of(own, other)), members, TABLE, nowNanos);
    }

    private long ownedCount(String host) {
        return record.endpoints().stream()
                .filter(entry -> entry.owner().host().equals(host))
                .count();
    }

    private void receiveHeartbeat(String host, String domain, long number, Release... released) {
        Member member = new Member(new EntryProcess(host, 1), "r1", domain, "", "", "", "", "", MemberState.ACTIVE);
        members.heartbeatReceived(
                new MemberReport(member, number, 0, List.of(released), List.of()), number > 1 ? 10 * SECOND : 0);
    }
}
