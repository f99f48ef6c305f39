package io.carawaylift.decisions.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Chooses the endpoint that is expected to respond first. Requests for an object go to the same few endpoints, which
 * cache it, until these are busy. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class EndpointPicker {
    /** Positions of an object's order that a decision considers, so that it costs the same in services of any size. */
    private static final int MAX_POSITIONS = 8;

    /** Endpoints chosen at random that are considered too, so that an overloaded object can move on. */
    private static final int RANDOM_CANDIDATES = 2;

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

    /** Bound on cached orders of a service in a region; there are a few hundred objects for each kind of request. */
    private static final int MAX_CACHED_ORDERS = 4096;

    private static final EndpointStatus[] NO_ENDPOINTS = {};
    private static final RegionEndpoints EMPTY_REGION = new RegionEndpoints(NO_ENDPOINTS);

    private final EndpointRegistry registry;
    private final String ownZone;
    private final SplittableRandom random;
    private final Map<String, Map<String, RegionEndpoints>> endpoints = new HashMap<>();
    private long endpointsChangeCount;

    /** The candidate with the lowest cost of the decision in progress. */
    private EndpointStatus best;

    private double minCost;
    private int bestPosition;

    private record RankedEndpoint(EndpointStatus status, double weight) {}

    /** The usable endpoints of a service in a region, and the first ones of the orders of objects. */
    private static final class RegionEndpoints {
        private final EndpointStatus[] all;
        private final Map<String, EndpointStatus[]> orders = new HashMap<>();

        RegionEndpoints(EndpointStatus[] all) {
            this.all = all;
        }
    }

    /** Creates a picker for a host in {@code ownZone}. */
    public EndpointPicker(EndpointRegistry registry, String ownZone) {
        this(registry, ownZone, ownZone.hashCode());
    }

    /** Creates a picker for a host in {@code ownZone} that draws random candidates from {@code seed}. */
    public EndpointPicker(EndpointRegistry registry, String ownZone, long seed) {
        this.registry = registry;
        this.ownZone = ownZone;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Requirements of a request.
     *
     * @param object key of the object that the request concerns, empty if none
     * @param largeResponse whether the response is large, so that the network cost of its bytes matters
     * @param excluded ids of endpoints that have already had the request
     * @param coldRate requests per second that a cold endpoint of the service tolerates
     * @param mayWarmUp whether this host may send to a cold endpoint
     * @param reservedFraction fraction of each endpoint's slots that the request leaves to more urgent ones
     * @param rampUp whether endpoints that have just become warm or recovered get their share step by step
     */
    public record Requirements(
            String service,
            String object,
            boolean largeResponse,
            Set<String> excluded,
            double coldRate,
            Predicate<EndpointEntry> mayWarmUp,
            double reservedFraction,
            boolean rampUp) {
        /** Creates the requirements of a request that may use all slots. */
        public Requirements(
                String service,
                String object,
                boolean largeResponse,
                Set<String> excluded,
                double coldRate,
                Predicate<EndpointEntry> mayWarmUp) {
            this(service, object, largeResponse, excluded, coldRate, mayWarmUp, 0, true);
        }
    }

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

    /**
     * Returns the endpoint with the lowest expected cost in the region, or empty if none may be used now. Considers the
     * first positions of the object's order, a few endpoints at random and some that recently reported a free slot; all
     * endpoints only if none of these may be used.
     */
    public Optional<Choice> pick(Requirements requirements, String region, ProcessingTimes times, long nowNanos) {
        RegionEndpoints candidates = endpoints(requirements.service(), region);
        best = null;
        minCost = Double.POSITIVE_INFINITY;
        if (requirements.object().isEmpty()) {
            considerAtRandom(candidates.all, MAX_POSITIONS + RANDOM_CANDIDATES, 0, requirements, times, nowNanos);
        } else {
            EndpointStatus[] order = order(candidates, requirements.object());
            // Only endpoints that may be used have a position: the first of them is expected to cache the object.
            int position = 0;
            for (EndpointStatus status : order) {
                position += consider(status, position, requirements, times, true, nowNanos) ? 1 : 0;
            }
            if (candidates.all.length > order.length) {
                considerAtRandom(candidates.all, RANDOM_CANDIDATES, MAX_POSITIONS, requirements, times, nowNanos);
            }
        }
        if (candidates.all.length > MAX_POSITIONS) {
            int position = requirements.object().isEmpty() ? 0 : MAX_POSITIONS;
            for (EndpointStatus status :
                    registry.group(requirements.service(), region).recentlyFree()) {
                if (status != null && isIn(status, requirements.service(), region)) {
                    consider(status, position, requirements, times, true, nowNanos);
                }
            }
        }
        if (best == null) {
            for (EndpointStatus status : candidates.all) {
                consider(status, MAX_POSITIONS, requirements, times, false, nowNanos);
            }
        }
        return best == null
                ? Optional.empty()
                : Optional.of(estimate(best, requirements, bestPosition, times, nowNanos));
    }

    private void considerAtRandom(
            EndpointStatus[] all,
            int count,
            int position,
            Requirements requirements,
            ProcessingTimes times,
            long nowNanos) {
        if (all.length == 0) {
            return;
        }
        // Consecutive ones from a random start are as good as independent ones, since the list has no order by load.
        int start = random.nextInt(all.length);
        for (int i = 0; i < Math.min(count, all.length); i++) {
            consider(all[(start + i) % all.length], position, requirements, times, true, nowNanos);
        }
    }

    /** Considers an endpoint and returns whether it may be used. */
    private boolean consider(
            EndpointStatus status,
            int position,
            Requirements requirements,
            ProcessingTimes times,
            boolean paced,
            long nowNanos) {
        if (!mayUse(status, requirements, nowNanos)) {
            return false;
        }
        if (status.isReserved(requirements.reservedFraction(), nowNanos)
                || (paced && requirements.rampUp() && !isInShare(status, requirements, nowNanos))) {
            return true;
        }
        boolean cached = isExpectedCached(status, requirements, position);
        double cost = processingMillis(status, cached, times, nowNanos)
                + queueWaitMillis(status, requirements, times, nowNanos)
                + crossZoneMillis(status, requirements)
                + FAILURE_COST_FACTOR * status.failureFraction(nowNanos) * times.expectedMillis(false)
                + laterCostMillis(cached, position, times)
                + loadCostMillis(status, requirements, times, nowNanos);
        if (cost < minCost) {
            minCost = cost;
            best = status;
            bestPosition = position;
        }
        return true;
    }

    private static boolean isIn(EndpointStatus status, String service, String region) {
        return status.entry().service().equals(service)
                && status.entry().region().equals(region);
    }

    /** Returns whether the service has an endpoint that gets requests in one of the regions, healthy or not. */
    public boolean hasUsableEndpoint(String service, Predicate<String> regions) {
        for (Map.Entry<String, RegionEndpoints> region : endpoints(service).entrySet()) {
            if (region.getValue().all.length > 0 && regions.test(region.getKey())) {
                return true;
            }
        }
        return false;
    }

    private Map<String, RegionEndpoints> endpoints(String service) {
        if (endpointsChangeCount != registry.changeCount()) {
            endpoints.clear();
            endpointsChangeCount = registry.changeCount();
        }
        Map<String, RegionEndpoints> regions = endpoints.get(service);
        if (regions == null) {
            regions = computeEndpoints(service);
            endpoints.put(service, regions);
        }
        return regions;
    }

    private RegionEndpoints endpoints(String service, String region) {
        return endpoints(service).getOrDefault(region, EMPTY_REGION);
    }

    private Map<String, RegionEndpoints> computeEndpoints(String service) {
        Map<String, List<EndpointStatus>> byRegion = new LinkedHashMap<>();
        for (EndpointStatus status : registry.usable(service)) {
            byRegion.computeIfAbsent(status.entry().region(), region -> new ArrayList<>())
                    .add(status);
        }
        Map<String, RegionEndpoints> regions = new LinkedHashMap<>();
        byRegion.forEach(
                (region, statuses) -> regions.put(region, new RegionEndpoints(statuses.toArray(NO_ENDPOINTS))));
        return regions;
    }

    /**
     * Returns the first endpoints in the order in which an object's endpoints in a region are preferred. All hosts derive
     * the same order.
     */
    private static EndpointStatus[] order(RegionEndpoints region, String object) {
        EndpointStatus[] order = region.orders.get(object);
        if (order == null && region.all.length > 0) {
            if (region.orders.size() >= MAX_CACHED_ORDERS) {
                region.orders.clear();
            }
            order = computeOrder(region.all, object);
            region.orders.put(object, order);
        }
        return order == null ? NO_ENDPOINTS : order;
    }

    private static EndpointStatus[] computeOrder(EndpointStatus[] all, String object) {
        List<RankedEndpoint> ranked = new ArrayList<>(all.length);
        for (EndpointStatus status : all) {
            ranked.add(new RankedEndpoint(
                    status, Rendezvous.fraction(object, status.entry().id())));
        }
        ranked.sort(Comparator.comparingDouble(RankedEndpoint::weight)
                .reversed()
                .thenComparing(each -> each.status().entry().id()));
        return ranked.stream().limit(MAX_POSITIONS).map(RankedEndpoint::status).toArray(EndpointStatus[]::new);
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
                        && status.pace().permitsCold(requirements.coldRate(), nowNanos));
    }

    /**
     * Returns whether the request belongs to the share that an endpoint gets which has just become warm: the same objects
     * at all hosts, so that few objects are loaded at first.
     */
    private boolean isInShare(EndpointStatus status, Requirements requirements, long nowNanos) {
        double share = status.share(nowNanos);
        if (share >= 1 || status.isCold(nowNanos)) {
            return true;
        }
        return share
                > (requirements.object().isEmpty()
                        ? random.nextDouble()
                        : Rendezvous.fraction(status.entry().id(), requirements.object()));
    }

    /** Takes a permit to send to the chosen endpoint; returns false if it is cold and its rate limit is reached. */
    public boolean tryTake(Choice choice, Requirements requirements, long nowNanos) {
        EndpointStatus status = choice.endpoint();
        return !status.isCold(nowNanos) || status.pace().tryTakeCold(requirements.coldRate(), nowNanos);
    }

    private static Choice estimate(
            EndpointStatus status, Requirements requirements, int position, ProcessingTimes times, long nowNanos) {
        boolean expectedCached = isExpectedCached(status, requirements, position);
        return new Choice(
                status,
                expectedCached,
                processingMillis(status, expectedCached, times, nowNanos),
                queueWaitMillis(status, requirements, times, nowNanos));
    }

    private static boolean isExpectedCached(EndpointStatus status, Requirements requirements, int position) {
        return !requirements.object().isEmpty() && (position == 0 || status.probablyCaches(requirements.object()));
    }

    private static double processingMillis(
            EndpointStatus status, boolean cached, ProcessingTimes times, long nowNanos) {
        double millis = times.expectedMillis(cached) * status.slowness(nowNanos) * status.speed(nowNanos);
        return status.isCold(nowNanos) ? 2 * millis : millis;
    }

    private static double queueWaitMillis(
            EndpointStatus status, Requirements requirements, ProcessingTimes times, long nowNanos) {
        int slots = status.entry().slots();
        double load = requirements.object().isEmpty() ? status.loadOrMean(nowNanos) : status.load(nowNanos);
        double ahead = Math.max(0, load + 1 - slots);
        return ahead == 0
                ? 0
                : ahead / slots * times.queuedMillis() * status.slowness(nowNanos) * status.speed(nowNanos);
    }

    /**
     * Returns what the choice costs later requests: the endpoint is busy for longer now and evicts another object from
     * its cache.
     */
    private static double laterCostMillis(boolean cached, int position, ProcessingTimes times) {
        double cachedMillis = times.expectedMillis(true);
        double extraMillis = cached ? 0 : times.expectedMillis(false) - cachedMillis;
        return CACHE_MISS_COST_FRACTION * extraMillis + POSITION_COST_FRACTION * position * cachedMillis;
    }

    /**
     * Returns the cost of a slot that may not be free in fact. Only where no object prefers an endpoint: the least
     * loaded one is preferred even if all seem to have free slots.
     */
    private static double loadCostMillis(
            EndpointStatus status, Requirements requirements, ProcessingTimes times, long nowNanos) {
        if (!requirements.object().isEmpty()) {
            return 0;
        }
        double load = Math.min(1, status.loadOrMean(nowNanos) / status.entry().slots());
        return load * load / status.entry().slots() * times.queuedMillis();
    }

    private double crossZoneMillis(EndpointStatus status, Requirements requirements) {
        return requirements.largeResponse() && !isInOwnZone(status) ? LARGE_RESPONSE_CROSS_ZONE_MILLIS : 0;
    }
}
