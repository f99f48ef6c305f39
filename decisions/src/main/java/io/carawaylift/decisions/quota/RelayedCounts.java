package io.carawaylift.decisions.quota;

import io.carawaylift.model.QuotaCount;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts that a relay collects: those of the hosts of its region, and the sums of other regions from their relays. Counts
 * of hosts that no longer report stay until their requests have left the window. Times are nanoseconds. Not thread-safe.
 */
public final class RelayedCounts {
    private final long windowNanos;
    private long maxAgeNanos = 1_400_000_000L;
    private final Map<String, HostCounts> hosts = new TreeMap<>();
    private final List<HostCounts> endedRuns = new ArrayList<>();
    private final Map<String, Map<String, RegionCounts>> regions = new TreeMap<>();

    private record HostCounts(long run, Map<String, QuotaCount> counts, long receivedNanos) {}

    private record RegionCounts(QuotaTotals totals, long provenNanos, long receivedNanos) {}

    /**
     * Creates an empty collection.
     *
     * @param windowNanos length of the quota window
     */
    public RelayedCounts(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** Sets the age from which a host counts as silent. */
    public void setMaxAgeNanos(long nanos) {
        maxAgeNanos = nanos;
    }

    /**
     * Records the counts of a host of the own region.
     *
     * @param run identifies the run of the host's program; a restarted host starts with empty counts
     */
    public void hostReported(String host, long run, Map<String, QuotaCount> counts, long nowNanos) {
        HostCounts before = hosts.put(host, new HostCounts(run, Map.copyOf(counts), nowNanos));
        if (before != null && before.run() != run) {
            endedRuns.add(before);
        }
    }

    /**
     * Records the sum of another region from one of its relays.
     *
     * @param provenNanos a time at or after which the relay sent the sum
     */
    public void regionReported(String region, String relay, QuotaTotals totals, long provenNanos, long nowNanos) {
        regions.computeIfAbsent(region, key -> new TreeMap<>())
                .put(relay, new RegionCounts(totals, provenNanos, nowNanos));
    }

    /** Returns the sum over the hosts of the own region. */
    public QuotaTotals ownRegion(long nowNanos) {
        hosts.values().removeIf(host -> nowNanos - host.receivedNanos() > windowNanos);
        endedRuns.removeIf(host -> nowNanos - host.receivedNanos() > windowNanos);
        Map<String, QuotaCount> sums = new HashMap<>();
        int reporting = 0;
        for (HostCounts host : hosts.values()) {
            reporting += nowNanos - host.receivedNanos() < maxAgeNanos ? 1 : 0;
            add(sums, host.counts(), nowNanos - host.receivedNanos());
        }
        endedRuns.forEach(host -> add(sums, host.counts(), nowNanos - host.receivedNanos()));
        return new QuotaTotals(reporting, sums);
    }

    /** Returns the sum over all hosts. */
    public QuotaTotals all(long nowNanos) {
        QuotaTotals own = ownRegion(nowNanos);
        Map<String, QuotaCount> sums = new HashMap<>(own.counts());
        int reporting = own.hosts();
        for (Map<String, RegionCounts> relays : regions.values()) {
            relays.values().removeIf(each -> nowNanos - each.receivedNanos() > windowNanos);
            RegionCounts best = null;
            for (RegionCounts each : relays.values()) {
                if (best == null || isBetter(each, best, nowNanos)) {
                    best = each;
                }
            }
            if (best != null) {
                reporting += isFresh(best, nowNanos) ? best.totals().hosts() : 0;
                add(sums, best.totals().counts(), nowNanos - best.receivedNanos());
            }
        }
        return new QuotaTotals(reporting, sums);
    }

    /** A sum of more hosts is better, since a relay may receive the reports of some hosts only. */
    private boolean isBetter(RegionCounts candidate, RegionCounts other, long nowNanos) {
        boolean fresh = isFresh(candidate, nowNanos);
        if (fresh != isFresh(other, nowNanos)) {
            return fresh;
        }
        if (fresh && candidate.totals().hosts() != other.totals().hosts()) {
            return candidate.totals().hosts() > other.totals().hosts();
        }
        return candidate.provenNanos() - other.provenNanos() > 0;
    }

    private boolean isFresh(RegionCounts counts, long nowNanos) {
        return nowNanos - counts.provenNanos() < maxAgeNanos;
    }

    private void add(Map<String, QuotaCount> sums, Map<String, QuotaCount> counts, long ageNanos) {
        long steps = ageNanos * QuotaCount.STEPS_PER_WINDOW / windowNanos;
        counts.forEach((customer, count) -> {
            QuotaCount aged = count.after(steps);
            if (aged.admitted() > 0 || aged.arrived() > 0) {
                sums.merge(customer, aged, QuotaCount::plus);
            }
        });
    }
}
