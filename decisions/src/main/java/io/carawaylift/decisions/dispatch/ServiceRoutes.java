package io.carawaylift.decisions.dispatch;

import io.carawaylift.decisions.fleet.ProcessingTimes;
import io.carawaylift.decisions.route.RequestKind;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The routes that send requests to one service, with their demand and processing times. Routes of different kinds may
 * differ by a factor of six. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class ServiceRoutes {
    /** Bound on the routes that are told apart; the one that was used least recently is forgotten. */
    private static final int MAX_ROUTES = 256;

    /** Standard deviations of a Poisson-distributed number of busy slots that are reserved beyond its mean. */
    private static final double RESERVE_DEVIATIONS = 1.5;

    /** Largest fraction of the slots that is reserved, so that no kind of request is starved. */
    private static final double MAX_RESERVED_FRACTION = 0.5;

    private static final String RANK_SEPARATOR = "#rank";

    private final String service;
    private final ProcessingTimes serviceTimes;
    private final Map<Integer, Double> reservedByRank = new TreeMap<>();
    private final Map<String, RouteLoad> routes = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RouteLoad> eldest) {
            return size() > MAX_ROUTES;
        }
    };

    /** Creates the routes of a service; {@code serviceTimes} are the estimates for all of its requests. */
    public ServiceRoutes(String service, ProcessingTimes serviceTimes) {
        this.service = service;
        this.serviceTimes = serviceTimes;
    }

    /**
     * Returns the load of a route. A new name starts with the estimates of a route of the same kind, rank and target,
     * since configurations rename routes.
     */
    public RouteLoad route(String name, RequestKind kind, int priority, long targetMillis, long nowNanos) {
        RouteLoad known = routes.get(name);
        if (known != null && known.isLike(kind, priority, targetMillis)) {
            return known;
        }
        ProcessingTimes times = routes.values().stream()
                .filter(route -> route.isLike(kind, priority, targetMillis))
                .findFirst()
                .map(route -> route.times().copy())
                .orElseGet(() -> new ProcessingTimes(targetMillis));
        times.setQueued(serviceTimes);
        RouteLoad load = new RouteLoad(kind, priority, targetMillis, times, nowNanos);
        routes.put(name, load);
        return load;
    }

    /** Updates the arrival rates; before {@link #busySlots}. */
    public void updateRates(long nowNanos) {
        routes.values().forEach(route -> route.updateRate(nowNanos));
    }

    /** Returns the mean number of slots in use by this host's requests. */
    public double busySlots() {
        double total = 0;
        for (RouteLoad route : routes.values()) {
            total += route.busySlots();
        }
        return total;
    }

    /**
     * Returns the slots in use by the requests of each rank but the lowest, with the keys under which hosts report them;
     * empty if all routes have the same rank.
     */
    public Map<String, Double> busySlotsByRank() {
        TreeMap<Integer, Double> byRank = new TreeMap<>();
        routes.values().forEach(route -> byRank.merge(route.priority(), route.busySlots(), Double::sum));
        byRank.pollLastEntry();
        Map<String, Double> reported = new TreeMap<>();
        byRank.forEach((rank, slots) -> reported.put(service + RANK_SEPARATOR + rank, slots));
        return reported;
    }

    /**
     * Updates what is reserved for more urgent requests.
     *
     * @param busySlotsByRegion what the hosts reported, by region and key
     * @param totalSlots usable slots of the service
     */
    public void updateReserve(Map<String, Map<String, Double>> busySlotsByRegion, double totalSlots) {
        TreeMap<Integer, Double> byRank = new TreeMap<>();
        String prefix = service + RANK_SEPARATOR;
        for (Map<String, Double> region : busySlotsByRegion.values()) {
            region.forEach((key, slots) -> {
                if (key.startsWith(prefix)) {
                    rank(key.substring(prefix.length()), slots, byRank);
                }
            });
        }
        reservedByRank.clear();
        double needed = 0;
        for (Map.Entry<Integer, Double> rank : byRank.entrySet()) {
            needed += rank.getValue();
            double withMargin = needed + RESERVE_DEVIATIONS * Math.sqrt(needed);
            reservedByRank.put(rank.getKey(), Math.min(MAX_RESERVED_FRACTION, withMargin / Math.max(1, totalSlots)));
        }
    }

    private static void rank(String text, double slots, Map<Integer, Double> byRank) {
        try {
            byRank.merge(Integer.parseInt(text), Math.max(0, slots), Double::sum);
        } catch (NumberFormatException e) {
            // A newer program may report other keys.
        }
    }

    /** Returns the fraction of each endpoint's slots that a request of a rank leaves to more urgent ones. */
    public double reservedFraction(int priority) {
        double reserved = 0;
        for (Map.Entry<Integer, Double> rank : reservedByRank.entrySet()) {
            if (rank.getKey() < priority) {
                reserved = rank.getValue();
            }
        }
        return reserved;
    }
}
