package io.carawaylift.decisions.membership;

import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;

/** Known state of the newest entry process of one host. */
final class MemberView {
    private MemberReport report;
    /** Time of the last contact with the process; meaningless while {@link #assumedLive}. */
    private long lastContactNanos;
    /** Whether the process is known from a record only and no contact has been expected yet. */
    private boolean assumedLive;

    private MemberView(MemberReport report, long lastContactNanos, boolean assumedLive) {
        this.report = report;
        this.lastContactNanos = lastContactNanos;
        this.assumedLive = assumedLive;
    }

    static MemberView ofHeartbeat(MemberReport report, long nowNanos) {
        return new MemberView(report, nowNanos, false);
    }

    static MemberView ofRecord(MemberReport report) {
        return new MemberView(report, 0, true);
    }

    MemberReport report() {
        return report;
    }

    Member member() {
        return report.member();
    }

    /** Updates to a report of the same process if its heartbeat number is higher. */
    void update(MemberReport newer, long nowNanos) {
        if (newer.heartbeat() > report.heartbeat()) {
            report = newer;
            contacted(nowNanos);
        }
    }

    void contacted(long nowNanos) {
        lastContactNanos = nowNanos;
        assumedLive = false;
    }

    /** Starts the lease of a process that was only assumed to be live. */
    void expectContact(long nowNanos) {
        if (assumedLive) {
            contacted(nowNanos);
        }
    }

    /**
     * Applies a change of state in a record {@code owners/}; a process that is no longer suspected there is live again.
     */
    void updateState(MemberState before, MemberState now) {
        if (before == MemberState.SUSPECTED && now != MemberState.SUSPECTED) {
            assumedLive = true;
            report = new MemberReport(
                    member().withState(now),
                    report.heartbeat(),
                    report.tableVersion(),
                    report.released(),
                    report.measures());
        }
    }

    boolean isLive(long nowNanos, long leaseNanos) {
        if (assumedLive) {
            return member().state() != MemberState.SUSPECTED;
        }
        return nowNanos - lastContactNanos < leaseNanos;
    }
}
