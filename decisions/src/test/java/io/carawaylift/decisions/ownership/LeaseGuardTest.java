package io.carawaylift.decisions.ownership;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import io.carawaylift.model.Release;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class LeaseGuardTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MAX_REQUEST_NANOS = 3 * SECOND;
    private static final EntryProcess SELF = new EntryProcess("a", 1);
    private static final EntryProcess OTHER = new EntryProcess("b", 1);

    private final LeaseGuard guard = new LeaseGuard(SELF, LeaseDurations.DEFAULT);

    /** Guards against a confirmation that renews the lease although a newer record names another owner. */
    @Test
    void confirmationOfAnUnknownVersionDoesNotRenew() {
        receiveRecord(1, entry(SELF, 1, OwnershipMode.FULL, false, null, null), 0);
        guard.heartbeatSent(1, 0);
        guard.platformConfirmed(1, Map.of("owners/fd1", 2L));
        assertThat(permittedSlots(SECOND)).isEqualTo(2);
        guard.platformConfirmed(1, Map.of("owners/fd1", 1L));
        assertThat(permittedSlots(SECOND)).isEqualTo(5);
        assertThat(permittedSlots(6 * SECOND)).isEqualTo(2);
    }

    /** Guards against acknowledgements of a host that is no longer the successor. */
    @Test
    void onlyTheSuccessorRenewsTheLease() {
        receiveRecord(1, entry(SELF, 1, OwnershipMode.FULL, false, null, null), 0);
        guard.heartbeatSent(1, 0);
        guard.successorAcknowledged("x", 1);
        assertThat(permittedSlots(0)).isEqualTo(2);
        guard.successorAcknowledged("s", 1);
        assertThat(permittedSlots(0)).isEqualTo(5);
    }

    /**
     * Guards against requests of the earlier owner and the new one in the same slots; the wait for the earlier owner's
     * requests needs the clock margin.
     */
    @Test
    void ownerWaitsAfterATakeover() {
        receiveRecord(1, entry(SELF, 1, OwnershipMode.HALF, true, OTHER, null), 0);
        renew(1, 9 * SECOND);
        assertThat(permittedSlots(10 * SECOND - 1)).isEqualTo(0);
        assertThat(permittedSlots(10 * SECOND)).isEqualTo(2);
        receiveRecord(2, entry(SELF, 1, OwnershipMode.FULL, true, null, null), 11 * SECOND);
        renew(2, 14 * SECOND);
        assertThat(permittedSlots(15 * SECOND - 1)).isEqualTo(2);
        assertThat(permittedSlots(15 * SECOND)).isEqualTo(5);
    }

    /** Guards against a slot used by an owner of half without a confirmed lease while a new owner uses its half. */
    @Test
    void halfOwnerHasNoSlotsWithoutAConfirmedLease() {
        receiveRecord(1, entry(SELF, 1, OwnershipMode.HALF, false, OTHER, null), 0);
        assertThat(permittedSlots(0)).isEqualTo(0);
        assertThat(guard.isLeaseUnconfirmed(0)).isTrue();
    }

    /** Guards against a transfer that skips the wait after a takeover of the process that releases. */
    @Test
    void endpointIsReleasedOnlyAfterTheWaitAndWithoutWork() {
        receiveRecord(1, entry(SELF, 1, OwnershipMode.FULL, true, null, OTHER), 0);
        assertThat(guard.releaseRequested()).containsExactly("e");
        assertThat(guard.released(endpoint -> 0, 4 * SECOND - 1)).isEmpty();
        assertThat(guard.released(endpoint -> 1, 4 * SECOND)).isEmpty();
        assertThat(guard.released(endpoint -> 0, 4 * SECOND)).containsExactly(new Release("e", 1));
        assertThat(permittedSlots(5 * SECOND)).isEqualTo(0);
    }

    /**
     * Guards against a new owner that keeps half of the slots forever because the earlier one is alive and never
     * terminates.
     */
    @Test
    void earlierOwnerReportsThatItHasStopped() {
        receiveRecord(1, entry(SELF, 1, OwnershipMode.FULL, false, null, null), 0);
        receiveRecord(2, entry(OTHER, 2, OwnershipMode.HALF, true, SELF, null), 0);
        assertThat(permittedSlots(0)).isEqualTo(0);
        assertThat(guard.released(endpoint -> 1, 0)).isEmpty();
        assertThat(guard.released(endpoint -> 0, 0)).containsExactly(new Release("e", 2));
    }

    /**
     * Guards against a record that takes slots away within an epoch, and against confirmations of heartbeats never
     * sent.
     */
    @Test
    void inconsistentInputIsRejected() {
        receiveRecord(1, entry(SELF, 1, OwnershipMode.FULL, false, null, null), 0);
        Ownership reduced = entry(SELF, 1, OwnershipMode.HALF, false, OTHER, null);
        assertThrows(CarawayliftException.class, () -> receiveRecord(2, reduced, 0));
        assertThrows(CarawayliftException.class, () -> guard.platformConfirmed(9, Map.of()));
    }

    private void renew(long number, long nowNanos) {
        guard.heartbeatSent(number, nowNanos);
        guard.successorAcknowledged("s", number);
    }

    private int permittedSlots(long nowNanos) {
        return guard.permittedSlots("e", 5, nowNanos);
    }

    private void receiveRecord(long version, Ownership entry, long nowNanos) {
        OwnersRecord record = new OwnersRecord("fd1", "r1", List.of(), List.of(entry));
        guard.ownersChanged("owners/fd1", version, record, endpoint -> MAX_REQUEST_NANOS, nowNanos);
    }

    private static Ownership entry(
            EntryProcess owner,
            long epoch,
            OwnershipMode mode,
            boolean takenOver,
            EntryProcess previous,
            EntryProcess next) {
        return new Ownership("e", owner, "s", epoch, mode, takenOver, previous, next);
    }
}
