package io.carawaylift.decisions.route;

import java.util.List;
import java.util.Set;

/**
 * Maps the requests of one host and path prefix to services.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeoutMillis maximum time that a caller waits for a response
 * @param targetLatencyMillis latency within which a response counts as in time
 * @param priority rank, 0 is the highest
 * @param services at least one service
 * @param maxAttempts maximum number of endpoints that one request may run on
 * @param sessionAffinity whether an endpoint that handled the object recently is faster
 * @param homeRegions regions that may run the requests; empty means all
 * @param publicAccess whether requests need no customer's key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean sessionAffinity,
        Set<String> homeRegions,
        boolean publicAccess) {
    public Route {
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "route " + name + ": path prefix must begin and end with /: " + pathPrefix);
        }
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
        services = List.copyOf(services);
        homeRegions = Set.copyOf(homeRegions);
    }

    /** Returns whether endpoints of the region may run requests of this route. */
    public boolean mayRunIn(String region) {
        return homeRegions.isEmpty() || homeRegions.contains(region);
    }
}
