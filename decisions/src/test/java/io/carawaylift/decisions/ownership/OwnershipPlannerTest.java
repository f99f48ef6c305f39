package io.carawaylift.decisions.ownership;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.membership.DomainMembers;
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

    private final DomainMembers members = new DomainMembers("fd1", "r1", LeaseTimes.DEFAULT);
    private final OwnershipPlanner planner = new OwnershipPlanner("fd1", "r1", LeaseTimes.DEFAULT);
    private List<String> hosts = List.of("a", "b", "s");
    private int endpoints = 4;
    private long version;
    private OwnersRecord record;

    /** Guards against owners outside the failure domain and successors that fail together with the owner. */
    @Test
    void firstOwnersAreInTheFailureDomainAndSuccessorsOutside() {
        beat("a", "fd1", 1);
        beat("b", "fd1", 1);
        beat("s", "fd2", 1);
        plan(0);
        assertThat(owned("a")).isEqualTo(2);
        assertThat(owned("b")).isEqualTo(2);
        assertThat(record.endpoints().stream()
                        .map(Ownership::successor)
                        .distinct()
                        .toList())
                .containsExactly("s");
        assertThat(planned(0)).isEqualTo(Optional.empty());
    }

    /** Guards against more transfers than the balance needs, and against transfers without a release. */
    @Test
    void joiningMemberGetsItsPartAfterRelease() {
        beat("a", "fd1", 1);
        plan(0);
        beat("b", "fd1", 1);
        plan(0);
        List<Ownership> asked = record.endpoints().stream()
                .filter(entry -> entry.next() != null)
                .toList();
        assertThat(asked).hasSize(2);
        assertThat(owned("a")).isEqualTo(4);
        Ownership first = asked.get(0);
        beat("a", "fd1", 2, new Release(first.endpoint(), first.epoch() - 1));
        assertThat(planned(0)).isEqualTo(Optional.empty());
        beat("a", "fd1", 3, new Release(first.endpoint(), first.epoch()));
        plan(0);
        Ownership moved = record.ownership(first.endpoint()).orElseThrow();
        assertThat(moved.owner().host()).isEqualTo("b");
        assertThat(moved.epoch()).isGreaterThan(first.epoch());
        assertThat(moved.takenOver()).isFalse();
    }

    /** Guards against a request that is withdrawn while the owner may have released already. */
    @Test
    void requestWithoutAnotherTargetIsRedirectedToTheOwner() {
        beat("a", "fd1", 1);
        plan(0);
        beat("b", "fd1", 1);
        plan(0);
        members.processEnded("fd1", new EntryProcess("b", 1));
        plan(0);
        Ownership entry = record.endpoints().stream()
                .filter(asked -> asked.next() != null)
                .findFirst()
                .orElseThrow();
        assertThat(entry.next()).isEqualTo(entry.owner());
    }

    /** Guards against a host taken for gone before the lagging list has ever named it, and after it no longer does. */
    @Test
    void hostsGetRolesOnceListedAndLoseThemWhenDropped() {
        hosts = List.of("a");
        beat("a", "fd1", 1);
        beat("b", "fd1", 1);
        plan(0);
        assertThat(owned("b")).isEqualTo(0);
        assertThat(record.members()).hasSize(1);
        hosts = List.of("b");
        plan(0);
        assertThat(owned("b")).isEqualTo(4);
        assertThat(record.endpoints().get(0).mode()).isEqualTo(OwnershipMode.FULL);
        assertThat(record.endpoints().get(0).takenOver()).isTrue();
    }

    /** Guards against all slots while the work of an owner between the earlier and the present one may last. */
    @Test
    void halfBecomesFullOnlyAfterLeaseMarginAndHold() {
        endpoints = 1;
        EntryProcess earlier = new EntryProcess("z", 1);
        beat("a", "fd1", 1);
        plan(0);
        record = new OwnersRecord(
                "fd1",
                "r1",
                record.members(),
                List.of(new Ownership(
                        "e0", new EntryProcess("a", 1), null, 9, OwnershipMode.HALF, true, earlier, null)));
        members.processEnded("fd1", earlier);
        assertThat(planned(SECOND)).isEqualTo(Optional.empty());
        beat("a", "fd1", 2);
        plan(11 * SECOND);
        assertThat(record.endpoints().get(0).mode()).isEqualTo(OwnershipMode.FULL);
        assertThat(record.endpoints().get(0).previous()).isNull();
    }

    /** Guards against a first owner without a wait for an endpoint that was removed and is listed again. */
    @Test
    void endpointIsForgottenOnlyAfterItsOwnerReleasedIt() {
        endpoints = 1;
        beat("a", "fd1", 1);
        plan(0);
        endpoints = 0;
        plan(0);
        Ownership asked = record.endpoints().get(0);
        assertThat(asked.next()).isEqualTo(asked.owner());
        beat("a", "fd1", 2, new Release("e0", asked.epoch()));
        plan(0);
        assertThat(record.endpoints()).isEmpty();
        endpoints = 1;
        plan(0);
        assertThat(record.endpoints().get(0).epoch()).isGreaterThan(asked.epoch());
    }

    private void plan(long nowNanos) {
        OwnersWrite write = planned(nowNanos).orElseThrow();
        record = write.record();
        version++;
        members.ownersRead(record, nowNanos);
    }

    private Optional<OwnersWrite> planned(long nowNanos) {
        List<Endpoint> listed = IntStream.range(0, endpoints)
                .mapToObj(i -> new Endpoint("e" + i, "up", "", 4, 10, false))
                .toList();
        EndpointList own = new EndpointList("fd1", "r1", listed, hosts);
        EndpointList other = new EndpointList("fd2", "r1", List.of(), hosts);
        return planner.plan(version, record, new ArrayList<>(List.of(own, other)), members, TABLE, nowNanos);
    }

    private long owned(String host) {
        return record.endpoints().stream()
                .filter(entry -> entry.owner().host().equals(host))
                .count();
    }

    private void beat(String host, String domain, long number, Release... released) {
        Member member = new Member(new EntryProcess(host, 1), "r1", domain, "", "", "", "", "", MemberState.ACTIVE);
        members.heartbeatReceived(
                new MemberReport(member, number, 0, List.of(released), List.of()), number > 1 ? 10 * SECOND : 0);
    }
}
