package io.carawaylift.decisions.ownership;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import io.carawaylift.model.ResultCode;

/** An endpoint that the entry process owns, and since when it may use which slots. */
final class HeldEndpoint {
    private final String recordName;
    private Ownership ownership;
    private final LeaseTimes times;
    private final long readyNanos;
    private long allReadyNanos;

    /**
     * Takes an endpoint over at the moment the process learns of it.
     *
     * <p>An earlier owner may have renewed its lease just before the takeover and dispatched at the lease's very end; that
     * work lasts at most {@code holdNanos}.
     */
    HeldEndpoint(String recordName, Ownership ownership, long holdNanos, LeaseTimes times, long nowNanos) {
        this.recordName = recordName;
        this.ownership = ownership;
        this.times = times;
        this.readyNanos = nowNanos + waitAfterTakeover(ownership, holdNanos, times);
        this.allReadyNanos = readyNanos;
    }

    private static long waitAfterTakeover(Ownership ownership, long holdNanos, LeaseTimes times) {
        if (!ownership.takenOver()) {
            return 0;
        }
        long workOver = workOver(holdNanos, times);
        return ownership.mode() == OwnershipMode.HALF ? times.lease() + workOver : workOver;
    }

    /** Returns a hold on this process's clock, which may be faster by the margin than the clock that the work runs by. */
    private static long workOver(long holdNanos, LeaseTimes times) {
        return holdNanos + times.margin();
    }

    /** Takes a newer entry of the same epoch. */
    void update(Ownership newer, long holdNanos, long nowNanos) {
        if (ownership.mode() == OwnershipMode.FULL && newer.mode() == OwnershipMode.HALF) {
            throw new CarawayliftException(
                    ResultCode.INVARIANT_VIOLATED,
                    "endpoint " + newer.endpoint() + " went from FULL to HALF within epoch " + newer.epoch());
        }
        if (ownership.mode() == OwnershipMode.HALF && newer.mode() == OwnershipMode.FULL) {
            allReadyNanos = Math.max(readyNanos, nowNanos + workOver(holdNanos, times));
        }
        ownership = newer;
    }

    String recordName() {
        return recordName;
    }

    Ownership ownership() {
        return ownership;
    }

    boolean isReleaseRequested() {
        return ownership.next() != null;
    }

    boolean isWaiting(long nowNanos) {
        return nowNanos < allReadyNanos;
    }

    /** Returns the slots to use now; {@code renewed} tells whether a heartbeat of the last lease was confirmed. */
    int permittedSlots(int allotted, boolean renewed, long nowNanos) {
        if (isReleaseRequested() || nowNanos < readyNanos) {
            return 0;
        }
        if (ownership.mode() == OwnershipMode.HALF) {
            return renewed ? allotted / 2 : 0;
        }
        return renewed && nowNanos >= allReadyNanos ? allotted : allotted / 2;
    }
}
