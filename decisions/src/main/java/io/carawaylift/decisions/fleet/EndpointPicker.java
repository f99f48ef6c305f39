package io.carawaylift.decisions.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the endpoint that is expected to respond first. Requests for an object go to the same few endpoints, which
 * cache it, until these are busy. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class EndpointPicker {
    /**
     * Fraction of the cold rate that one host uses. Hosts partitioned from each other may each believe that they are
     * the one host that sends to the cold endpoint.
     */
    private static final double COLD_RATE_FRACTION = 0.5;

    /** Queue wait that is accepted to keep a large response in the zone, where its bytes cost nothing. */
    private static final double LARGE_RESPONSE_CROSS_ZONE_MILLIS = 60;

    /**
     * Fraction of the extra processing time of a cache miss that is charged to the endpoint, because the requests
     * behind it wait longer.
     */
    private static final double CACHE_MISS_COST_FRACTION = 0.5;

    /**
     * Cost of each position after the first in an object's order, as a fraction of the processing time of a cached
     * object.
     */
    private static final double POSITION_COST_FRACTION = 0.15;

    /** Cost of a failed attempt, as a multiple of the processing time of an object that is not cached. */
    private static final double FAILURE_COST_FACTOR = 2;

    /** Bound on cached orders; there are a few dozen objects for each kind of request. */
    private static final int MAX_CACHED_ORDERS = 4096;

    private final EndpointRegistry registry;
    private final String ownZone;
    private final Map<OrderKey, List<EndpointStatus>> orders = new HashMap<>();
    private long ordersChangeCount;

    private record OrderKey(String service, String region, String object) {}

    private record RankedEndpoint(EndpointStatus status, double weight) {}

    /** Creates a picker for a host in {@code ownZone}. */
    public EndpointPicker(EndpointRegistry registry, String ownZone) {
        this.registry = registry;
        this.ownZone = ownZone;
    }

    /**
     * Requirements of a request.
     *
     * @param object key of the object that the request concerns, empty if none
     * @param largeResponse whether the response is large, so that the network cost of its bytes matters
     * @param excluded ids of endpoints that have already had the request
     * @param coldRate requests per second that a cold endpoint of the service tolerates
     * @param mayWarmUp whether this host may send to a cold endpoint
     */
    public record Requirements(
            String service,
            String object,
            boolean largeResponse,
            Set<String> excluded,
            double coldRate,
            Predicate<EndpointEntry> mayWarmUp) {}

    /**
     * A chosen endpoint.
     *
     * @param expectedCached whether the endpoint is expected to have the object cached
     * @param processingMillis expected processing time
     * @param queueWaitMillis expected wait in the endpoint's queue
     */
    public record Choice(
            EndpointStatus endpoint, boolean expectedCached, double processingMillis, double queueWaitMillis) {
        /** Returns whether a slot is expected to be free, so that the request does not wait. */
        public boolean slotFree() {
            return queueWaitMillis <= 0;
        }
    }

    /** Returns the endpoint with the lowest expected cost in the region, or empty if none may be used now. */
    public Optional<Choice> pick(Requirements requirements, String region, ProcessingTimes times, long nowNanos) {
        Choice best = null;
        double minCost = Double.POSITIVE_INFINITY;
        int position = 0;
        for (EndpointStatus status : order(requirements, region)) {
            if (!mayUse(status, requirements, nowNanos)) {
                continue;
            }
            Choice choice = estimate(status, requirements, position, times, nowNanos);
            double cost = choice.processingMillis()
                    + choice.queueWaitMillis()
                    + crossZoneMillis(status, requirements)
                    + FAILURE_COST_FACTOR * status.failureFraction(nowNanos) * times.expectedMillis(false)
                    + laterCostMillis(choice, position, times);
            if (cost < minCost) {
                minCost = cost;
                best = choice;
            }
            // Without an object no endpoint is preferred.
            position += requirements.object().isEmpty() ? 0 : 1;
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether the service has an endpoint that gets requests in one of the regions, healthy or not. */
    public boolean hasUsableEndpoint(String service, Predicate<String> regions) {
        return registry.usable(service).stream()
                .anyMatch(status -> regions.test(status.entry().region()));
    }

    /**
     * Returns the order in which an object's endpoints in a region are preferred. All hosts derive the same order.
     */
    private List<EndpointStatus> order(Requirements requirements, String region) {
        if (ordersChangeCount != registry.changeCount() || orders.size() >= MAX_CACHED_ORDERS) {
            orders.clear();
            ordersChangeCount = registry.changeCount();
        }
        return orders.computeIfAbsent(
                new OrderKey(requirements.service(), region, requirements.object()), this::computeOrder);
    }

    private List<EndpointStatus> computeOrder(OrderKey key) {
        List<RankedEndpoint> ranked = new ArrayList<>();
        for (EndpointStatus status : registry.usable(key.service())) {
            if (status.entry().region().equals(key.region())) {
                String id = status.entry().id();
                ranked.add(new RankedEndpoint(status, Rendezvous.fraction(key.object(), id)));
            }
        }
        ranked.sort(Comparator.comparingDouble(RankedEndpoint::weight)
                .reversed()
                .thenComparing(each -> each.status().entry().id()));
        return ranked.stream().map(RankedEndpoint::status).toList();
    }

    private boolean isInOwnZone(EndpointStatus status) {
        return status.entry().zone().equals(ownZone);
    }

    private boolean mayUse(EndpointStatus status, Requirements requirements, long nowNanos) {
        String id = status.entry().id();
        if (requirements.excluded().contains(id)
                || status.isSilenced(nowNanos)
                || !registry.health().mayTry(id, nowNanos)) {
            return false;
        }
        return !status.isCold(nowNanos)
                || (requirements.mayWarmUp().test(status.entry())
                        && status.coldRequestAvailable(COLD_RATE_FRACTION * requirements.coldRate(), nowNanos));
    }

    /** Takes a permit to send to the chosen endpoint; returns false if it is cold and its rate limit is reached. */
    public boolean tryTake(Choice choice, Requirements requirements, long nowNanos) {
        EndpointStatus status = choice.endpoint();
        return !status.isCold(nowNanos)
                || status.tryColdRequest(COLD_RATE_FRACTION * requirements.coldRate(), nowNanos);
    }

    private static Choice estimate(
            EndpointStatus status, Requirements requirements, int position, ProcessingTimes times, long nowNanos) {
        boolean expectedCached = status.probablyCaches(requirements.object())
                || (position == 0 && !requirements.object().isEmpty());
        double processing = times.expectedMillis(expectedCached) * status.slowness();
        if (status.isCold(nowNanos)) {
            processing *= 2;
        }
        int slots = status.entry().slots();
        double ahead = Math.max(0, status.load(nowNanos) + 1 - slots);
        double queueWait = ahead / slots * times.expectedMillis(true) * status.slowness();
        return new Choice(status, expectedCached, processing, queueWait);
    }

    /**
     * Returns what the choice costs later requests: the endpoint is busy for longer now and evicts another object from
     * its cache.
     */
    private static double laterCostMillis(Choice choice, int position, ProcessingTimes times) {
        double cachedMillis = times.expectedMillis(true);
        double extraMillis = choice.expectedCached() ? 0 : times.expectedMillis(false) - cachedMillis;
        return CACHE_MISS_COST_FRACTION * extraMillis + POSITION_COST_FRACTION * position * cachedMillis;
    }

    private double crossZoneMillis(EndpointStatus status, Requirements requirements) {
        return requirements.largeResponse() && !isInOwnZone(status) ? LARGE_RESPONSE_CROSS_ZONE_MILLIS : 0;
    }
}
