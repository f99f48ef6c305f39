package io.carawaylift.host;

import io.carawaylift.host.quota.QuotaMonitor;
import java.util.HashSet;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Writes what happens to customers' quotas to the log and the metrics. Used on the event loop only. */
final class QuotaEvents implements QuotaMonitor {
    private final EventLog log;
    private final HostMetrics metrics;
    private final ToDoubleFunction<String> share;
    private final Set<String> customers = new HashSet<>();

    /** Creates events; {@code share} returns the part of a customer's remaining requests that this host may admit. */
    QuotaEvents(EventLog log, HostMetrics metrics, ToDoubleFunction<String> share) {
        this.log = log;
        this.metrics = metrics;
        this.share = share;
    }

    @Override
    public void decided(String customer, boolean admitted) {
        metrics.count("carawaylift.quota.requests", "customer", customer, "result", admitted ? "admitted" : "refused");
        if (customers.add(customer)) {
            metrics.gauge("carawaylift.quota.share", () -> share.applyAsDouble(customer), "customer", customer);
        }
    }

    @Override
    public void countsKnown(boolean known) {
        log.event(known ? "quota.counts_regained" : "quota.counts_lost", line -> {});
    }
}
