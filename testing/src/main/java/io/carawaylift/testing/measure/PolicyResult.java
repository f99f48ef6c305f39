package io.carawaylift.testing.measure;

import io.carawaylift.model.Rank;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Results of one policy in one scenario; the keys of the maps are rank labels. See {@link RunMetrics} for the metrics.
 *
 * @param floodInTimePercent percentage of flood requests answered before their deadline, 0 without a flood
 */
record PolicyResult(
        String platform,
        String service,
        String scenario,
        String policy,
        Map<String, Double> inTimePercent,
        double floodInTimePercent,
        Map<String, Double> floorKeptPercent,
        double usefulPercent,
        Map<String, Double> latencyP50Ms,
        Map<String, Double> latencyP99Ms,
        double drainSeconds,
        int peakInFlight,
        int slots) {
    static final String HEADER = String.format(
            Locale.ROOT,
            "%-8s %-8s %-16s %-22s %6s %6s %6s %6s %6s %6s %6s %8s %8s %7s %9s",
            "platform",
            "service",
            "scenario",
            "policy",
            "urg%",
            "std%",
            "def%",
            "flood%",
            "flrStd",
            "flrDef",
            "useful",
            "urgP50",
            "urgP99",
            "drain s",
            "peak/slot");

    static PolicyResult of(ServiceSize size, Scenario scenario, Policy policy, RunMetrics metrics) {
        Map<String, Double> inTime = new TreeMap<>();
        Map<String, Double> kept = new TreeMap<>();
        Map<String, Double> median = new TreeMap<>();
        Map<String, Double> high = new TreeMap<>();
        for (Rank rank : Rank.values()) {
            inTime.put(rank.label(), metrics.inTimePercent(rank));
            kept.put(rank.label(), metrics.floorKeptPercent(rank));
            median.put(rank.label(), metrics.latencyMs(rank, 50));
            high.put(rank.label(), metrics.latencyMs(rank, 99));
        }
        return new PolicyResult(
                size.platform(),
                size.service(),
                scenario.name(),
                policy.name(),
                inTime,
                scenario.flooded().map(metrics::floodInTimePercent).orElse(0.0),
                kept,
                metrics.usefulPercent(),
                median,
                high,
                metrics.drainSeconds(),
                metrics.peakInFlight(),
                size.slotsPerEndpoint());
    }

    String row() {
        String urgent = Rank.URGENT.label();
        String standard = Rank.STANDARD.label();
        String deferrable = Rank.DEFERRABLE.label();
        return String.format(
                Locale.ROOT,
                "%-8s %-8s %-16s %-22s %6.2f %6.2f %6.2f %6.2f %6.1f %6.1f %6.1f %8.0f %8.0f %7.1f %9s",
                platform,
                service,
                scenario,
                policy,
                inTimePercent.get(urgent),
                inTimePercent.get(standard),
                inTimePercent.get(deferrable),
                floodInTimePercent,
                floorKeptPercent.get(standard),
                floorKeptPercent.get(deferrable),
                usefulPercent,
                latencyP50Ms.get(urgent),
                latencyP99Ms.get(urgent),
                drainSeconds,
                peakInFlight + "/" + slots);
    }
}
