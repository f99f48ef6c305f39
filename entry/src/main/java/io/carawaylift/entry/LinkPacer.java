package io.carawaylift.entry;

import io.carawaylift.decisions.links.LinkBudgets;
import io.netty.util.HashedWheelTimer;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Limits the rate at which this process sends to other regions. Its lock is acquired after any other lock and held
 * briefly. Thread-safe.
 */
final class LinkPacer {
    /** Delay before the next try while the link has no budget for this process. */
    private static final long NO_BUDGET_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Estimated size of the request or status line and of the headers that the HTTP libraries add. */
    private static final int HTTP_HEAD_BYTES = 400;

    private final Object lock = new Object();
    private final String region;
    private final LinkBudgets budgets;
    private final LongSupplier clock;
    private final HashedWheelTimer timer;
    private final EntryMetrics metrics;

    LinkPacer(String region, LongSupplier clock, HashedWheelTimer timer, EntryMetrics metrics) {
        this.region = region;
        this.budgets = new LinkBudgets(region);
        this.clock = clock;
        this.timer = timer;
        this.metrics = metrics;
    }

    /** Updates the link shares, see {@link LinkBudgets#update}. */
    void update(Topology topology, boolean leaseUnconfirmed, boolean joining) {
        int members = Math.max(1, topology.liveMembers(region));
        synchronized (lock) {
            budgets.update(topology.table(), members, leaseUnconfirmed, joining, clock.getAsLong());
        }
    }

    /** Returns whether a byte queued for the region now would be sent before the deadline. */
    boolean canSendBefore(String toRegion, long deadlineNanos) {
        if (toRegion.equals(region)) {
            return true;
        }
        long now = clock.getAsLong();
        synchronized (lock) {
            long backlog = budgets.backlogNanos(toRegion, now);
            return backlog >= 0 && now + backlog < deadlineNanos;
        }
    }

    /**
     * Runs {@code send} when the budget covers the bytes and an estimated head.
     *
     * @return whether {@code send} has run or will run; false if the budget is not available before the deadline
     */
    boolean schedule(String toRegion, int bytes, long deadlineNanos, Runnable send) {
        if (toRegion.equals(region)) {
            send.run();
            return true;
        }
        if (!canSendBefore(toRegion, deadlineNanos)) {
            return false;
        }
        long wait = reserve(toRegion, bytes + HTTP_HEAD_BYTES);
        if (wait < 0) {
            return false;
        }
        if (wait == 0) {
            send.run();
        } else {
            timer.newTimeout(timeout -> send.run(), wait, TimeUnit.NANOSECONDS);
        }
        return true;
    }

    /**
     * Blocks until the budget covers the bytes; called only by threads that transfer a body.
     *
     * @return false if the budget is not available before the deadline or the thread was interrupted
     */
    boolean awaitBudget(String toRegion, int bytes, long deadlineNanos) {
        if (toRegion.equals(region)) {
            return true;
        }
        while (canSendBefore(toRegion, deadlineNanos)) {
            long wait = reserve(toRegion, bytes);
            if (!sleep(wait < 0 ? NO_BUDGET_RETRY_NANOS : wait)) {
                return false;
            }
            if (wait >= 0) {
                return true;
            }
        }
        return false;
    }

    private long reserve(String toRegion, int bytes) {
        long wait;
        synchronized (lock) {
            wait = budgets.reserve(toRegion, bytes, clock.getAsLong());
        }
        if (wait >= 0) {
            metrics.countLinkBytes(toRegion, bytes);
        }
        return wait;
    }

    private static boolean sleep(long nanos) {
        try {
            TimeUnit.NANOSECONDS.sleep(nanos);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
