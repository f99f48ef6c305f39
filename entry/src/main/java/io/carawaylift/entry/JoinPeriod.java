package io.carawaylift.entry;

import io.carawaylift.decisions.ownership.LeaseDurations;

/**
 * Tells when this process counts as a member for link shares: one lease after the platform first confirmed its
 * heartbeat. Thread-safe.
 */
final class JoinPeriod {
    private boolean confirmed;
    private long confirmedNanos;

    /** Records that the platform has stored a heartbeat of this process. */
    synchronized void heartbeatConfirmed(long nowNanos) {
        if (!confirmed) {
            confirmed = true;
            confirmedNanos = nowNanos;
        }
    }

    synchronized boolean isJoining(long nowNanos) {
        return !confirmed || nowNanos - confirmedNanos < LeaseDurations.DEFAULT.leaseNanos();
    }
}
