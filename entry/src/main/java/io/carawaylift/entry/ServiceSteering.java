package io.carawaylift.entry;

import io.carawaylift.decisions.admission.RetryBudget;
import io.carawaylift.decisions.steering.UpstreamSelector;
import io.carawaylift.model.Table;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Steering state of one service, with its own lock. Thread-safe. */
final class ServiceSteering {
    /** Max retries and hedged attempts per first attempt, section 6 of the design. */
    private static final double RETRY_FRACTION = 0.1;

    private static final long MIN_HEDGE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int HEDGE_DELAY_MEAN_RATIO = 4;
    private static final double SMOOTHING_FRACTION = 0.05;

    private final String service;
    private final UpstreamSelector selector = new UpstreamSelector();
    private final RetryBudget retries = new RetryBudget(RETRY_FRACTION);
    private double meanLatencyNanos;

    ServiceSteering(String service) {
        this.service = service;
    }

    synchronized void updateTable(Table table, long nowNanos) {
        selector.table(table, nowNanos);
    }

    synchronized Optional<String> choose(Set<String> usable, long nowNanos) {
        return selector.choose(service, usable::contains, nowNanos);
    }

    synchronized Map<String, Double> shares(long nowNanos) {
        return selector.shares(service, nowNanos);
    }

    synchronized void firstAttempt() {
        retries.firstAttempt();
    }

    synchronized boolean tryRetry() {
        return retries.tryRetry();
    }

    /** Records the latency of a response. */
    synchronized void recordLatency(long nanos) {
        meanLatencyNanos =
                meanLatencyNanos == 0 ? nanos : meanLatencyNanos + SMOOTHING_FRACTION * (nanos - meanLatencyNanos);
    }

    /** Returns the delay after which an idempotent request without a response is hedged. */
    synchronized long hedgeDelayNanos() {
        return Math.max(MIN_HEDGE_DELAY_NANOS, (long) (HEDGE_DELAY_MEAN_RATIO * meanLatencyNanos));
    }
}
