package io.carawaylift.decisions.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One host's share of the limit on retries to a service. The limit applies to every window of fixed length, summed over
 * all hosts: a ratio of the requests for the service plus a fixed allowance, which is divided evenly among the hosts.
 * Times are monotonic nanoseconds. Not thread-safe.
 */
public final class SharedRetryBudget {
    /** Fraction of the limit that is used: the windows of hosts differ, and requests in flight are counted late. */
    private static final double USED_FRACTION = 0.7;

    private double ratio;
    private double allowance;
    private long windowNanos;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio retries per request
     * @param allowance retries in a window that all hosts together may send beyond the ratio
     */
    public SharedRetryBudget(double ratio, double allowance, long windowNanos) {
        setLimits(ratio, allowance, windowNanos);
    }

    /** Changes the limits; recorded requests and retries still count. */
    public final void setLimits(double newRatio, double newAllowance, long newWindowNanos) {
        ratio = newRatio;
        allowance = newAllowance;
        windowNanos = newWindowNanos;
    }

    /** Records a request of a caller for the service. */
    public void recordRequest(long nowNanos) {
        requests.addLast(nowNanos);
        trim(nowNanos);
    }

    /**
     * Records a retry and returns true, or returns false if the budget is exhausted; the allowance is divided by {@code
     * hosts}.
     */
    public boolean tryRetry(int hosts, long nowNanos) {
        trim(nowNanos);
        double limit = USED_FRACTION * (ratio * requests.size() + allowance / Math.max(1, hosts));
        if (retries.size() + 1 > limit) {
            return false;
        }
        retries.addLast(nowNanos);
        return true;
    }

    private void trim(long nowNanos) {
        dropExpired(requests, nowNanos);
        dropExpired(retries, nowNanos);
    }

    private void dropExpired(Deque<Long> timestamps, long nowNanos) {
        while (!timestamps.isEmpty() && nowNanos - timestamps.peekFirst() > windowNanos) {
            timestamps.removeFirst();
        }
    }
}
