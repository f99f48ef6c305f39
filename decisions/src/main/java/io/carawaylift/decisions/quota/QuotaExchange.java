package io.carawaylift.decisions.quota;

import io.carawaylift.model.QuotaCount;
import java.util.HashMap;
import java.util.Map;

/**
 * Which counts a host sends to which other host. A host reports to the relays of its region, relays report the sum of
 * their region to relays of other regions, and both respond with their sums. Each message names the last report of its
 * receiver that arrived before, which proves how old the message is at most, also if it was held up on the way. Times
 * are nanoseconds of the clock of {@link CustomerQuotas}. Not thread-safe.
 */
public final class QuotaExchange {
    /**
     * Low bits of the number of a report, which are counted; the others identify the run of the program. At one report
     * every 400 ms they last for 4 days, after which the next run is assumed to have started.
     */
    private static final int REPORT_BITS = 20;

    private final String ownHost;
    private final CustomerQuotas quotas;
    private final RelayedCounts relayed;
    private final Map<String, Long> lastReports = new HashMap<>();
    private OwnCounts own = new OwnCounts(0, Map.of());

    /**
     * Sums for another host. Immutable.
     *
     * @param report number of the sender's last report
     * @param includedReport number of the receiver's last report that the sender received; 0 if none
     */
    public record Sums(long report, long includedReport, QuotaTotals totals) {}

    /** Creates an exchange that starts without counts. */
    public QuotaExchange(String ownHost, CustomerQuotas quotas, RelayedCounts relayed) {
        this.ownHost = ownHost;
        this.quotas = quotas;
        this.relayed = relayed;
    }

    /** Returns the first number for the reports of a run that started at a Unix time in milliseconds. */
    public static long firstReport(long startedMillis) {
        return startedMillis << REPORT_BITS;
    }

    /**
     * Returns the next report of this host.
     *
     * @param isRelay whether this host receives the reports of others and so relies on its own sums too
     */
    public OwnCounts nextReport(boolean isRelay, long nowNanos) {
        own = quotas.counts(nowNanos);
        relayed.hostReported(ownHost, own.report() >> REPORT_BITS, own.counts(), nowNanos);
        if (isRelay) {
            quotas.update(ownHost, own.report(), relayed.all(nowNanos), nowNanos);
        }
        return own;
    }

    /** Returns the sums over the hosts of the own region only, for relays of others, or over all hosts. */
    public QuotaTotals totals(boolean ownRegionOnly, long nowNanos) {
        return ownRegionOnly ? relayed.ownRegion(nowNanos) : relayed.all(nowNanos);
    }

    /** Returns the sums as a message to a host. */
    public Sums sumsFor(String host, QuotaTotals totals) {
        return new Sums(own.report(), lastReports.getOrDefault(host, 0L), totals);
    }

    /** Records the report of a host of the own region. */
    public void reportReceived(String host, long report, Map<String, QuotaCount> counts, long nowNanos) {
        Long before = lastReports.put(host, report);
        if (before != null && before > report) {
            lastReports.put(host, before);
            return;
        }
        relayed.hostReported(host, report >> REPORT_BITS, counts, nowNanos);
    }

    /** Records sums from a relay of the own region. */
    public void ownRelaySumsReceived(String relay, Sums sums, long nowNanos) {
        quotas.update(relay, sums.includedReport(), sums.totals(), nowNanos);
    }

    /** Records the sums of another region from one of its relays. */
    public void regionSumsReceived(String region, String relay, Sums sums, long nowNanos) {
        lastReports.merge(relay, sums.report(), Math::max);
        long proven = quotas.sentNanos(sums.includedReport(), Long.MIN_VALUE);
        if (proven != Long.MIN_VALUE) {
            relayed.regionReported(region, relay, sums.totals(), proven, nowNanos);
        }
    }
}
