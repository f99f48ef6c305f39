package io.carawaylift.testing.measure;

import io.carawaylift.model.Rank;
import java.util.List;
import java.util.Map;

/**
 * Size and load of one service of a platform, from the design page.
 *
 * @param load normal load by rank as a fraction of capacity
 * @param floors floor by rank as a fraction of slot time
 */
record ServiceSize(
        String platform,
        String service,
        int endpoints,
        int slotsPerEndpoint,
        int hosts,
        Map<Rank, Double> load,
        Map<Rank, Double> floors) {
    private static final Map<Rank, Double> INZIRA_LOAD = byRank(0.35, 0.25, 0.15);
    private static final Map<Rank, Double> INZIRA_FLOORS = byRank(0.60, 0.15, 0.05);
    private static final Map<Rank, Double> TIDELINE_LOAD = byRank(0.20, 0.35, 0.20);
    private static final Map<Rank, Double> TIDELINE_FLOORS = byRank(0.30, 0.30, 0.15);
    private static final int HOSTS = 9;

    static final List<ServiceSize> ALL = List.of(
            inzira("calendar", 16, 5),
            inzira("booking", 12, 4),
            inzira("gallery", 12, 3),
            tideline("calendar", 14, 7),
            tideline("hold", 12, 5),
            tideline("file", 12, 3));

    int slots() {
        return endpoints * slotsPerEndpoint;
    }

    private static ServiceSize inzira(String service, int endpoints, int slots) {
        return new ServiceSize("inzira", service, endpoints, slots, HOSTS, INZIRA_LOAD, INZIRA_FLOORS);
    }

    private static ServiceSize tideline(String service, int endpoints, int slots) {
        return new ServiceSize("tideline", service, endpoints, slots, HOSTS, TIDELINE_LOAD, TIDELINE_FLOORS);
    }

    private static Map<Rank, Double> byRank(double urgent, double standard, double deferrable) {
        return Map.of(Rank.URGENT, urgent, Rank.STANDARD, standard, Rank.DEFERRABLE, deferrable);
    }
}
