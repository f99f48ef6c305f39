package io.carawaylift.model;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Computes the fraction of a service's traffic that each upstream should receive. */
final class WantedShares {
    private WantedShares() {}

    static Map<String, Double> of(Table table, String service) {
        List<UpstreamRow> upstreams = table.upstreamsOf(service);
        Map<String, Integer> upstreamWeightByRegion = new TreeMap<>();
        for (UpstreamRow row : upstreams) {
            if (!row.drain() && row.weight() > 0) {
                upstreamWeightByRegion.merge(row.region(), row.weight(), Integer::sum);
            }
        }
        double regionTotal = 0;
        for (String region : upstreamWeightByRegion.keySet()) {
            regionTotal += regionWeight(table, region);
        }
        Map<String, Double> shares = new LinkedHashMap<>();
        for (UpstreamRow row : upstreams) {
            shares.put(row.name(), share(table, row, upstreamWeightByRegion, regionTotal));
        }
        return shares;
    }

    private static double share(
            Table table, UpstreamRow row, Map<String, Integer> upstreamWeightByRegion, double regionTotal) {
        if (row.drain() || row.weight() == 0 || regionTotal == 0) {
            return 0;
        }
        double regionShare = regionWeight(table, row.region()) / regionTotal;
        return regionShare * row.weight() / upstreamWeightByRegion.get(row.region());
    }

    private static double regionWeight(Table table, String region) {
        return table.region(region).map(RegionRow::weight).orElse(0);
    }
}
