package io.carawaylift.decisions.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One host's part of the limit on repeated sends to a service. The limit holds for any window of fixed length summed over
 * all hosts: a ratio of the requests for the service plus a fixed allowance, which the hosts divide evenly. Times are
 * monotonic nanoseconds. Not thread-safe.
 */
public final class SharedRetryBudget {
    /** Part of the limit that is used: windows of hosts differ, and requests in flight are counted late. */
    private static final double USED_PART = 0.7;

    private final double ratio;
    private final double allowance;
    private final long windowNanos;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio repeats per request
     * @param allowance repeats in a window that all hosts together may send beyond the ratio
     */
    public SharedRetryBudget(double ratio, double allowance, long windowNanos) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.windowNanos = windowNanos;
    }

    /** Records a request of a caller for the service. */
    public void request(long nowNanos) {
        requests.addLast(nowNanos);
        trim(nowNanos);
    }

    /** Records a repeat and returns true, or returns false if the budget is used up; {@code hosts} share the allowance. */
    public boolean tryRepeat(int hosts, long nowNanos) {
        trim(nowNanos);
        double limit = USED_PART * (ratio * requests.size() + allowance / Math.max(1, hosts));
        if (repeats.size() + 1 > limit) {
            return false;
        }
        repeats.addLast(nowNanos);
        return true;
    }

    private void trim(long nowNanos) {
        drop(requests, nowNanos);
        drop(repeats, nowNanos);
    }

    private void drop(Deque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
            times.removeFirst();
        }
    }
}
