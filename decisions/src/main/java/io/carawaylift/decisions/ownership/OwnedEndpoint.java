package io.carawaylift.decisions.ownership;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import io.carawaylift.model.ResultCode;

/** An endpoint that the entry process owns, and the times from which it may use half and all of its slots. */
final class OwnedEndpoint {
    private final String recordName;
    private Ownership ownership;
    private final LeaseDurations durations;
    private final long usableFromNanos;
    private long fullyUsableFromNanos;

    /**
     * Creates the endpoint at the time at which the process learns that it owns it.
     *
     * <p>An earlier owner may have renewed its lease just before the takeover and dispatched a request at the very end
     * of that lease; the request lasts at most {@code maxRequestNanos}.
     */
    OwnedEndpoint(
            String recordName, Ownership ownership, long maxRequestNanos, LeaseDurations durations, long nowNanos) {
        this.recordName = recordName;
        this.ownership = ownership;
        this.durations = durations;
        this.usableFromNanos = nowNanos + takeoverWaitNanos(ownership, maxRequestNanos, durations);
        this.fullyUsableFromNanos = usableFromNanos;
    }

    private static long takeoverWaitNanos(Ownership ownership, long maxRequestNanos, LeaseDurations durations) {
        if (!ownership.takenOver()) {
            return 0;
        }
        long maxRequestNanosWithMargin = maxRequestNanosWithMargin(maxRequestNanos, durations);
        return ownership.mode() == OwnershipMode.HALF
                ? durations.leaseNanos() + maxRequestNanosWithMargin
                : maxRequestNanosWithMargin;
    }

    /**
     * Returns the maximum request duration on this process's clock, which may be faster by the margin than the clock
     * that times the request.
     */
    private static long maxRequestNanosWithMargin(long maxRequestNanos, LeaseDurations durations) {
        return maxRequestNanos + durations.clockMarginNanos();
    }

    /** Updates to a newer entry of the same epoch. */
    void update(Ownership newer, long maxRequestNanos, long nowNanos) {
        if (ownership.mode() == OwnershipMode.FULL && newer.mode() == OwnershipMode.HALF) {
            throw new CarawayliftException(
                    ResultCode.INVARIANT_VIOLATED,
                    "endpoint " + newer.endpoint() + " changed from FULL to HALF within epoch " + newer.epoch());
        }
        if (ownership.mode() == OwnershipMode.HALF && newer.mode() == OwnershipMode.FULL) {
            fullyUsableFromNanos =
                    Math.max(usableFromNanos, nowNanos + maxRequestNanosWithMargin(maxRequestNanos, durations));
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
        return nowNanos < fullyUsableFromNanos;
    }

    /** Returns the slots to use now; {@code renewed} is whether a heartbeat was confirmed within the last lease. */
    int permittedSlots(int allocated, boolean renewed, long nowNanos) {
        if (isReleaseRequested() || nowNanos < usableFromNanos) {
            return 0;
        }
        if (ownership.mode() == OwnershipMode.HALF) {
            return renewed ? allocated / 2 : 0;
        }
        return renewed && nowNanos >= fullyUsableFromNanos ? allocated : allocated / 2;
    }
}
