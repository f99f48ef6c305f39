package io.carawaylift.decisions.ownership;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TakeoverPolicyTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String NAME = "owners/fd1";
    private static final Member OWNER = member("a", "fd1");
    private static final Member SELF = member("s", "fd2");
    private static final EntryProcess EARLIER = new EntryProcess("z", 1);

    private final TakeoverPolicy policy = new TakeoverPolicy("s", LeaseDurations.DEFAULT, 0);

    /**
     * Guards against an acknowledgement that contradicts an update which an earlier run of the program has in flight.
     */
    @Test
    void nothingIsAcknowledgedBeforeTheRecordIsRewritten() {
        policy.ownersRead(NAME, 3, record(OwnershipMode.FULL, null), false, 0);
        assertThat(policy.heartbeatReceived(OWNER.process(), 1, 0).orElseThrow().ownersVersions())
                .isEmpty();
        policy.ownersRead(NAME, 3, record(OwnershipMode.FULL, null), true, 0);
        assertThat(policy.heartbeatReceived(OWNER.process(), 1, 0).isPresent()).isFalse();
        OwnersWrite rewrite = writes(0).get(0);
        assertThat(rewrite).isEqualTo(new OwnersWrite(NAME, 3, record(OwnershipMode.FULL, null)));
        policy.writeAccepted(rewrite, 4, 0);
        assertThat(policy.heartbeatReceived(OWNER.process(), 1, 0).orElseThrow().ownersVersions())
                .isEqualTo(Map.of(NAME, 4L));
    }

    /** Guards against an acknowledgement that an owner applies to an endpoint it no longer owns without knowing. */
    @Test
    void acknowledgementCoversOnlyKnownVersions() {
        Acknowledgement acknowledgement =
                new Acknowledgement("s", OWNER.process(), 1, Map.of(NAME, 4L, "owners/fd2", 2L));
        assertThat(acknowledgement.isCoveredBy(Map.of(NAME, 3L, "owners/fd2", 2L)))
                .isFalse();
        assertThat(acknowledgement.isCoveredBy(Map.of(NAME, 4L, "owners/fd2", 3L)))
                .isTrue();
        assertThat(acknowledgement.isCoveredBy(Map.of(NAME, 4L, "owners/fd2", 3L, "owners/fd3", 1L)))
                .isFalse();
    }

    /**
     * Guards against a takeover by a successor that started, or received a heartbeat, less than lease and margin ago.
     */
    @Test
    void takeoverNeedsSilenceForLeaseAndMargin() {
        settle(OwnershipMode.FULL, null);
        domainRead(1 * SECOND);
        policy.heartbeatReceived(OWNER.process(), 2, 3 * SECOND);
        domainRead(8 * SECOND);
        assertThat(writes(9 * SECOND)).isEmpty();
        assertThat(writes(10 * SECOND)).hasSize(1);
    }

    /** Guards against a takeover after a single read, however late it is. */
    @Test
    void takeoverNeedsTwoReadsLeaseAndMarginApart() {
        settle(OwnershipMode.FULL, null);
        domainRead(9 * SECOND);
        assertThat(writes(100 * SECOND)).isEmpty();
        domainRead(16 * SECOND);
        assertThat(writes(100 * SECOND)).hasSize(1);
    }

    /** Guards against acknowledgements while an update in flight may still end the owner's epoch. */
    @Test
    void nothingIsAcknowledgedWhileATakeoverIsUnresolved() {
        settle(OwnershipMode.FULL, null);
        domainRead(0);
        domainRead(7 * SECOND);
        Ownership taken = writes(7 * SECOND).get(0).record().endpoints().get(0);
        assertThat(taken)
                .isEqualTo(
                        new Ownership("e", SELF.process(), null, 5, OwnershipMode.HALF, true, OWNER.process(), null));
        assertThat(policy.heartbeatReceived(OWNER.process(), 9, 8 * SECOND).isPresent())
                .isFalse();
        assertThat(writes(8 * SECOND).get(0).record()).isEqualTo(record(OwnershipMode.FULL, null));
        policy.ownersRead(NAME, 5, record(OwnershipMode.FULL, null), true, 9 * SECOND);
        assertThat(policy.heartbeatReceived(OWNER.process(), 9, 9 * SECOND).isPresent())
                .isTrue();
    }

    /** Guards against dropping the earlier owner, which may still use half of the slots, when a second owner fails. */
    @Test
    void takeoverFromAHalfOwnerKeepsTheEarlierOwner() {
        settle(OwnershipMode.HALF, EARLIER);
        domainRead(0);
        domainRead(7 * SECOND);
        Ownership taken = writes(7 * SECOND).get(0).record().endpoints().get(0);
        assertThat(taken.previous()).isEqualTo(EARLIER);
        assertThat(taken.mode()).isEqualTo(OwnershipMode.HALF);
    }

    /** Guards against a successor that stops while owners depend on its acknowledgements. */
    @Test
    void drainingSuccessorResigns() {
        settle(OwnershipMode.FULL, null);
        Member next = member("t", "fd2");
        List<OwnersWrite> writes =
                policy.writesDue(SELF.withState(MemberState.LEAVING), List.of(OWNER, next), process -> false, 0);
        assertThat(writes.get(0).record().endpoints().get(0).successor()).isEqualTo("t");
    }

    private void settle(OwnershipMode mode, EntryProcess previous) {
        policy.ownersRead(NAME, 3, record(mode, previous), true, 0);
        policy.writeAccepted(writes(0).get(0), 4, 0);
    }

    private List<OwnersWrite> writes(long nowNanos) {
        return policy.writesDue(SELF, List.of(SELF, OWNER), process -> false, nowNanos);
    }

    private void domainRead(long nowNanos) {
        MemberReport report = new MemberReport(OWNER, 1, 0, List.of(), List.of());
        policy.domainRead(new DomainRecord("fd1", "a", List.of(report), List.of()), nowNanos, nowNanos);
    }

    private static OwnersRecord record(OwnershipMode mode, EntryProcess previous) {
        Ownership entry = new Ownership("e", OWNER.process(), "s", 1, mode, previous != null, previous, null);
        return new OwnersRecord("fd1", "r1", List.of(OWNER), List.of(entry));
    }

    private static Member member(String host, String domain) {
        return new Member(new EntryProcess(host, 1), "r1", domain, "", "", "", "", "", MemberState.ACTIVE);
    }
}
