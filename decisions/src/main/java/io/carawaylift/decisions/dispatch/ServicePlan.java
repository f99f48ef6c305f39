package io.carawaylift.decisions.dispatch;

import io.carawaylift.decisions.fleet.EndpointRegistry;
import io.carawaylift.decisions.fleet.EndpointStatus;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plans from the endpoints of a service and the demand of all regions where its requests run. Times are monotonic
 * nanoseconds. Not thread-safe.
 */
public final class ServicePlan {
    /** Fraction of the endpoints' caches that is planned for, because hashing fills them unevenly. */
    private static final double USABLE_CACHE_FRACTION = 0.9;

    /** Utilization of a service's slots that is assumed until traffic was measured. */
    private static final double ASSUMED_UTILIZATION = 0.6;

    /**
     * Utilization of the own region's slots up to which its requests stay, if other regions were at no distance. The
     * remaining slots absorb short bursts.
     */
    private static final double BASE_LOCAL_UTILIZATION = 0.5;

    /** Fraction of the target latency that a round trip to another region is assumed to take until it is known. */
    private static final double ASSUMED_ROUND_TRIP = 0.15;

    private static final double MAX_LOCAL_UTILIZATION = 0.75;

    private final String service;
    private final EndpointRegistry registry;
    private final String ownRegion;
    private final double targetMillis;

    /** Creates a plan for the requests of the callers of {@code ownRegion}, whose target latency is given. */
    public ServicePlan(String service, EndpointRegistry registry, String ownRegion, double targetMillis) {
        this.targetMillis = targetMillis;
        this.service = service;
        this.registry = registry;
        this.ownRegion = ownRegion;
    }

    /** Sets the shares that hold until demand was measured: the same demand is assumed for each zone. */
    public void start(ServiceDispatcher dispatcher, Collection<String> regionOfEachZone, long nowNanos) {
        Map<String, Double> slots = usableSlots(nowNanos);
        double total = 0;
        for (double each : slots.values()) {
            total += each;
        }
        double perZone = ASSUMED_UTILIZATION * total / regionOfEachZone.size();
        Map<String, Double> demand = new TreeMap<>();
        regionOfEachZone.forEach(region -> demand.merge(region, perZone, Double::sum));
        dispatcher.shares().setCorrecting(dispatcher.isScarce());
        dispatcher.shares().setMaxOwnUtilization(maxLocalUtilization(dispatcher));
        dispatcher.shares().update(slots, demand, 1, nowNanos);
    }

    /**
     * Moves the shares towards what the demand requires.
     *
     * @param busySlots slots kept busy by the callers of each region
     * @param recentObjects number of objects that were requested recently
     */
    public void update(ServiceDispatcher dispatcher, Map<String, Double> busySlots, int recentObjects, long nowNanos) {
        dispatcher.shares().setCorrecting(dispatcher.isScarce());
        dispatcher.shares().setMaxOwnUtilization(maxLocalUtilization(dispatcher));
        dispatcher.shares().update(usableSlots(nowNanos), busySlots, maxLocalFraction(recentObjects), nowNanos);
    }

    /** Returns the utilization up to which requests stay: the farther the next region is, the more they may wait here. */
    private double maxLocalUtilization(ServiceDispatcher dispatcher) {
        double roundTripMillis = dispatcher.nearestRoundTripMillis(ownRegion);
        double fraction = roundTripMillis > 0 ? roundTripMillis / targetMillis : ASSUMED_ROUND_TRIP;
        return Math.min(MAX_LOCAL_UTILIZATION, BASE_LOCAL_UTILIZATION + fraction);
    }

    /** Returns the fraction of the requests whose objects fit the caches of the own region's endpoints, at most 1. */
    private double maxLocalFraction(int recentObjects) {
        long endpoints = registry.usable(service).stream()
                .filter(endpoint -> endpoint.entry().region().equals(ownRegion))
                .count();
        double cachedObjects = USABLE_CACHE_FRACTION * EndpointStatus.MAX_CACHED_OBJECTS * endpoints;
        return Math.min(1, cachedObjects / Math.max(1, recentObjects));
    }

    /** Returns the name of the service. */
    public String service() {
        return service;
    }

    /** Returns the number of usable slots in all regions. */
    public double totalSlots(long nowNanos) {
        double total = 0;
        for (double each : usableSlots(nowNanos).values()) {
            total += each;
        }
        return total;
    }

    private Map<String, Double> usableSlots(long nowNanos) {
        Map<String, Double> slots = new TreeMap<>();
        for (EndpointStatus endpoint : registry.usable(service)) {
            if (!endpoint.isCold(nowNanos)) {
                slots.merge(endpoint.entry().region(), (double) endpoint.entry().slots(), Double::sum);
            }
        }
        return slots;
    }
}
