package io.carawaylift.decisions.membership;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.ownership.LeaseDurations;
import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RegionMembersTest {
    private static final long SECOND = 1_000_000_000L;

    private final RegionMembers members = new RegionMembers("fd1", "r1", LeaseDurations.DEFAULT);

    /** Guards against a failure domain that no host reports for after all its hosts failed. */
    @Test
    void memberOfTheRegionReportsForAFailureDomainWithoutLiveMembers() {
        members.heartbeatReceived(report("fd2", "b", 1, 1), 0);
        members.heartbeatReceived(report("fd1", "c", 1, 1), 5 * SECOND);
        assertThat(members.reporter("fd2", 5 * SECOND)).isEqualTo(Optional.of("b"));
        assertThat(members.reporter("fd2", 7 * SECOND)).isEqualTo(Optional.of("c"));
    }

    /** Guards against dropping a member without heartbeats although it may still run. */
    @Test
    void silentMemberIsSuspectedButStaysListed() {
        Member a = report("fd1", "a", 1, 0).member();
        members.ownersRead(new OwnersRecord("fd1", "r1", List.of(a), List.of()), 0);
        members.domainRead(new DomainRecord("fd1", "a", List.of(), List.of()), 0);
        assertThat(members.members("fd1", 6 * SECOND)).containsExactly(a.withState(MemberState.SUSPECTED));
    }

    /** Guards against a late heartbeat of an ended process that revives it. */
    @Test
    void endedProcessStaysEnded() {
        members.heartbeatReceived(report("fd1", "a", 1, 1), 0);
        members.heartbeatReceived(report("fd1", "a", 2, 1), 0);
        members.heartbeatReceived(report("fd1", "a", 1, 9), 0);
        assertThat(members.hasEnded(new EntryProcess("a", 1))).isTrue();
        assertThat(members.live(0)).containsExactly(report("fd1", "a", 2, 1).member());
        assertThat(members.toWrite("fd1", "a", 0).ended()).containsExactly(new EntryProcess("a", 1));
    }

    /** Guards against ignoring a restarted process whose wall clock went back. */
    @Test
    void lowerIncarnationIsAcceptedOnceTheHigherHasEnded() {
        members.heartbeatReceived(report("fd1", "a", 5, 1), 0);
        members.processEnded("fd1", new EntryProcess("a", 5));
        members.heartbeatReceived(report("fd1", "a", 4, 1), 0);
        assertThat(members.report(new EntryProcess("a", 4)).isPresent()).isTrue();
        assertThat(members.hasEnded(new EntryProcess("a", 4))).isFalse();
    }

    /** Guards against heartbeat numbers that decrease when the reporter changes. */
    @Test
    void mergedReportsKeepTheHighestNumber() {
        members.heartbeatReceived(report("fd1", "a", 1, 7), 0);
        members.domainRead(new DomainRecord("fd1", "b", List.of(report("fd1", "a", 1, 4)), List.of()), 0);
        assertThat(members.toWrite("fd1", "a", 0).members().get(0).heartbeat()).isEqualTo(7);
    }

    /** Guards against treating hosts as removed because the list of their failure domain was not read. */
    @Test
    void hostIsRemovedOnlyByTheListOfItsFailureDomain() {
        members.heartbeatReceived(report("fd1", "a", 1, 1), 0);
        EndpointList other = new EndpointList("fd2", "r1", List.of(), List.of());
        EndpointList own = new EndpointList("fd1", "r1", List.of(), List.of());
        assertThat(members.isHostRemoved("a", List.of(other))).isFalse();
        assertThat(members.isHostRemoved("a", List.of(other, own))).isTrue();
    }

    private static MemberReport report(String domain, String host, long incarnation, long heartbeat) {
        Member member =
                new Member(new EntryProcess(host, incarnation), "r1", domain, "", "", "", "", "", MemberState.ACTIVE);
        return new MemberReport(member, heartbeat, 0, List.of(), List.of());
    }
}
