package io.carawaylift.loadmodel;

import java.util.Map;
import java.util.TreeMap;

/** Counts of the requests of a run by how they ended for their callers. */
public final class LoadResult {
    private final Tally all = new Tally();
    private final Map<String, Tally> byService = new TreeMap<>();
    private final Map<String, Tally> byZone = new TreeMap<>();
    private final Map<Integer, Tally> bySecond = new TreeMap<>();
    private final Map<String, int[]> starts = new TreeMap<>();
    private final Map<String, Map<Integer, Map<String, Integer>>> runsByRegion = new TreeMap<>();
    private final Map<String, Map<Integer, Integer>> coldArrivals = new TreeMap<>();
    private final Map<Integer, int[]> arrivalsAtChanged = new TreeMap<>();

    /** Counts of requests; {@code late} ones were answered after their target latency. */
    public static final class Tally {
        private int inTime;
        private int late;
        private int refused;
        private int failed;

        /** Returns the requests that ended. */
        public int total() {
            return inTime + late + refused + failed;
        }

        /** Returns the fraction that was answered within the target latency, 1 if there were no requests. */
        public double inTimeFraction() {
            return total() == 0 ? 1 : (double) inTime / total();
        }

        /** Returns the fraction that was answered, 1 if there were no requests. */
        public double answeredFraction() {
            return total() == 0 ? 1 : (double) (inTime + late) / total();
        }

        /** Returns the requests that were refused and did not run. */
        public int refused() {
            return refused;
        }
    }

    enum End {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED
    }

    void record(String service, String zone, int second, End end) {
        for (Tally tally : new Tally[] {
            all,
            byService.computeIfAbsent(service, key -> new Tally()),
            byZone.computeIfAbsent(zone, key -> new Tally()),
            bySecond.computeIfAbsent(second, key -> new Tally())
        }) {
            switch (end) {
                case IN_TIME -> tally.inTime++;
                case LATE -> tally.late++;
                case REFUSED -> tally.refused++;
                case FAILED -> tally.failed++;
            }
        }
    }

    void recordStarts(String service, int started, int uncached) {
        int[] counts = starts.computeIfAbsent(service, key -> new int[2]);
        counts[0] += started;
        counts[1] += uncached;
    }

    /** Records that a request arrived at an endpoint; {@code second} is when it was sent. */
    void recordArrival(String fromRegion, ModelEndpoint endpoint, int second, boolean cold) {
        runsByRegion
                .computeIfAbsent(fromRegion, key -> new TreeMap<>())
                .computeIfAbsent(second, key -> new TreeMap<>())
                .merge(endpoint.entry().region(), 1, Integer::sum);
        if (cold) {
            coldArrivals
                    .computeIfAbsent(endpoint.entry().id(), key -> new TreeMap<>())
                    .merge(second, 1, Integer::sum);
        }
        int[] counts = arrivalsAtChanged.computeIfAbsent(second, key -> new int[2]);
        counts[0]++;
        counts[1] += endpoint.isChanged() ? 1 : 0;
    }

    /** Returns the most requests that a cold endpoint got within one second. */
    public int maxColdArrivals() {
        return coldArrivals.values().stream()
                .flatMap(seconds -> seconds.values().stream())
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    /** Returns the fraction of the requests between two seconds that went to slow or failing endpoints. */
    public double fractionAtChangedEndpoints(int fromSecond, int toSecond) {
        int all = 0;
        int changed = 0;
        for (Map.Entry<Integer, int[]> second : arrivalsAtChanged.entrySet()) {
            if (second.getKey() >= fromSecond && second.getKey() < toSecond) {
                all += second.getValue()[0];
                changed += second.getValue()[1];
            }
        }
        return all == 0 ? 0 : (double) changed / all;
    }

    /**
     * Returns the largest fraction of the requests of one region that changed the region in which they run from one window
     * of two seconds to the next.
     */
    public double maxRegionShift(int fromSecond, int toSecond) {
        double max = 0;
        for (Map<Integer, Map<String, Integer>> seconds : runsByRegion.values()) {
            for (int second = fromSecond; second + 3 < toSecond; second++) {
                Map<String, Double> before = shares(seconds, second);
                Map<String, Double> after = shares(seconds, second + 2);
                double moved = 0;
                for (Map.Entry<String, Double> share : after.entrySet()) {
                    moved += Math.max(0, share.getValue() - before.getOrDefault(share.getKey(), 0.0));
                }
                max = Math.max(max, moved);
            }
        }
        return max;
    }

    private static Map<String, Double> shares(Map<Integer, Map<String, Integer>> seconds, int first) {
        Map<String, Double> counts = new TreeMap<>();
        for (int second = first; second < first + 2; second++) {
            seconds.getOrDefault(second, Map.of())
                    .forEach((region, count) -> counts.merge(region, (double) count, Double::sum));
        }
        double total = counts.values().stream().mapToDouble(Double::doubleValue).sum();
        counts.replaceAll((region, count) -> count / Math.max(1, total));
        return counts;
    }

    /** Returns the counts of all requests. */
    public Tally all() {
        return all;
    }

    /** Returns the counts by service. */
    public Map<String, Tally> byService() {
        return byService;
    }

    /** Returns the counts by the zone of the callers. */
    public Map<String, Tally> byZone() {
        return byZone;
    }

    /** Returns the counts by the second in which the requests were first sent. */
    public Map<Integer, Tally> bySecond() {
        return bySecond;
    }

    /** Returns the fraction of the requests that an endpoint started without having their object cached. */
    public double uncachedFraction(String service) {
        int[] counts = starts.get(service);
        return counts == null || counts[0] == 0 ? 0 : (double) counts[1] / counts[0];
    }

    /** Returns the lowest fraction in time of the windows of a length, in seconds, from {@code fromSecond} on. */
    public double worstWindow(int seconds, int fromSecond) {
        double worst = 1;
        for (int start : bySecond.keySet()) {
            if (start < fromSecond) {
                continue;
            }
            int inTime = 0;
            int total = 0;
            for (int second = start; second < start + seconds; second++) {
                Tally tally = bySecond.get(second);
                inTime += tally == null ? 0 : tally.inTime;
                total += tally == null ? 0 : tally.total();
            }
            worst = total == 0 ? worst : Math.min(worst, (double) inTime / total);
        }
        return worst;
    }
}
