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
 * Chooses the endpoint that is expected to answer first. An object's requests go to the same few endpoints, which remember
 * it, until these are busy. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class EndpointPicker {
    /** Part of the cold rate that one host uses: hosts that are cut off from each other each believe to be the one. */
    private static final double COLD_RATE_PART = 0.5;

    /** Wait that is accepted to keep a large answer in the zone, where its bytes cost nothing. */
    private static final double LARGE_OTHER_ZONE_MILLIS = 60;

    /** Part of the longer work on an object that is not remembered which counts as a cost to the requests behind it. */
    private static final double OTHERS_PART = 0.5;

    /** Part of a request's work by which an endpoint is avoided for each place behind the first of an object's order. */
    private static final double RANK_PART = 0.15;

    /** Orders that are kept; there are a few dozen objects for each kind of request. */
    private static final int MOST_ORDERS = 4096;

    private final Fleet fleet;
    private final String ownZone;
    private final Map<OrderKey, List<EndpointStatus>> orders = new HashMap<>();
    private long ordersAt;

    private record OrderKey(String service, String region, String object, boolean large) {}

    private record Ranked(EndpointStatus status, boolean behind, double weight) {}

    /** Creates a picker for a host in {@code ownZone}. */
    public EndpointPicker(Fleet fleet, String ownZone) {
        this.fleet = fleet;
        this.ownZone = ownZone;
    }

    /**
     * What a request needs.
     *
     * @param object key of the object that the request concerns, empty if none
     * @param large whether the answer is large, so that its way matters
     * @param excluded endpoints that have had the request
     * @param coldRate requests a second that a cold endpoint of the service tolerates
     * @param mayWarm whether this host may send to a cold endpoint
     */
    public record Need(
            String service,
            String object,
            boolean large,
            Set<String> excluded,
            double coldRate,
            Predicate<EndpointEntry> mayWarm) {}

    /**
     * A chosen endpoint.
     *
     * @param remembered whether the endpoint is believed to remember the object
     * @param workMillis expected time of work
     * @param waitMillis expected time in the endpoint's queue
     */
    public record Choice(EndpointStatus endpoint, boolean remembered, double workMillis, double waitMillis) {}

    /** Returns the best endpoint in the region, or empty if none may be used now. */
    public Optional<Choice> pick(Need need, String region, WorkTimes times, long nowNanos) {
        Choice best = null;
        double least = Double.POSITIVE_INFINITY;
        int rank = 0;
        for (EndpointStatus status : order(need, region)) {
            if (!mayUse(status, need, nowNanos)) {
                continue;
            }
            Choice choice = estimate(status, need, rank, times, nowNanos);
            double cost = choice.workMillis()
                    + choice.waitMillis()
                    + wayMillis(status, need)
                    + spreadMillis(choice, rank, times);
            if (cost < least) {
                least = cost;
                best = choice;
            }
            rank++;
        }
        return Optional.ofNullable(best);
    }

    /** Returns the order of an object's endpoints in a region, which is the same for all hosts of a zone. */
    private List<EndpointStatus> order(Need need, String region) {
        if (ordersAt != fleet.changes() || orders.size() >= MOST_ORDERS) {
            orders.clear();
            ordersAt = fleet.changes();
        }
        return orders.computeIfAbsent(
                new OrderKey(need.service(), region, need.object(), need.large()), this::computeOrder);
    }

    private List<EndpointStatus> computeOrder(OrderKey key) {
        List<Ranked> ranked = new ArrayList<>();
        for (EndpointStatus status : fleet.usable(key.service())) {
            if (status.entry().region().equals(key.region())) {
                // Otherwise the place in the order would outweigh the way of the bytes of a large answer.
                boolean behind = key.large() && !isInOwnZone(status);
                String id = status.entry().id();
                ranked.add(new Ranked(status, behind, Rendezvous.fraction(key.object(), id)));
            }
        }
        ranked.sort(Comparator.comparing(Ranked::behind)
                .thenComparing(Comparator.comparingDouble(Ranked::weight).reversed())
                .thenComparing(each -> each.status().entry().id()));
        return ranked.stream().map(Ranked::status).toList();
    }

    private boolean isInOwnZone(EndpointStatus status) {
        return status.entry().zone().equals(ownZone);
    }

    private boolean mayUse(EndpointStatus status, Need need, long nowNanos) {
        String id = status.entry().id();
        if (need.excluded().contains(id) || !fleet.health().mayTry(id, nowNanos)) {
            return false;
        }
        return !status.isCold(nowNanos)
                || (need.mayWarm().test(status.entry())
                        && status.coldRequestAvailable(COLD_RATE_PART * need.coldRate(), nowNanos));
    }

    /** Takes the permission to send to the chosen endpoint; false if it is cold and had its share of requests. */
    public boolean tryTake(Choice choice, Need need, long nowNanos) {
        EndpointStatus status = choice.endpoint();
        return !status.isCold(nowNanos) || status.tryColdRequest(COLD_RATE_PART * need.coldRate(), nowNanos);
    }

    private static Choice estimate(EndpointStatus status, Need need, int rank, WorkTimes times, long nowNanos) {
        boolean remembered =
                status.remembers(need.object()) || (rank == 0 && !need.object().isEmpty());
        double work = times.expected(remembered) * status.slowness();
        if (status.isCold(nowNanos)) {
            work *= 2;
        }
        int slots = status.entry().slots();
        double ahead = Math.max(0, status.load(nowNanos) + 1 - slots);
        double wait = ahead / slots * times.expected(true) * status.slowness();
        return new Choice(status, remembered, work, wait);
    }

    /** Returns what the choice costs later requests: the endpoint works longer now and remembers another object less. */
    private static double spreadMillis(Choice choice, int rank, WorkTimes times) {
        double remembered = times.expected(true);
        double longer = choice.remembered() ? 0 : times.expected(false) - remembered;
        return OTHERS_PART * longer + RANK_PART * rank * remembered;
    }

    private double wayMillis(EndpointStatus status, Need need) {
        return need.large() && !isInOwnZone(status) ? LARGE_OTHER_ZONE_MILLIS : 0;
    }
}
