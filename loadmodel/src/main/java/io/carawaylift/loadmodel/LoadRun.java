package io.carawaylift.loadmodel;

import io.carawaylift.decisions.fleet.EndpointEntry;
import io.carawaylift.decisions.fleet.EndpointStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Plays a load pattern against a fleet in virtual time. Not thread-safe. */
public final class LoadRun {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double PLAN_INTERVAL_MILLIS = 250;

    /** Time after the last arrival in which requests end. */
    private static final double END_SECONDS = 8;

    /** Largest part of its remaining time that a caller waits before it returns. */
    private static final double MAX_RETURN_FRACTION = 1.0 / 3;

    private final EventQueue events = new EventQueue();
    private final FleetModel fleet;
    private final LoadPattern pattern;
    private final LoadPolicy policy;
    private final SplittableRandom random;
    private final LoadResult result = new LoadResult();
    private final Map<String, ModelEndpoint> endpoints = new LinkedHashMap<>();
    private final List<ModelHost> hosts = new ArrayList<>();
    private final Map<String, List<ModelHost>> hostsByRegion = new LinkedHashMap<>();
    private int nextEndpoint;

    private LoadRun(FleetModel fleet, LoadPattern pattern, LoadPolicy policy, long seed) {
        this.fleet = fleet;
        this.pattern = pattern;
        this.policy = policy;
        this.random = new SplittableRandom(seed);
    }

    /** Plays a pattern; the same arguments give the same result. */
    public static LoadResult play(FleetModel fleet, LoadPattern pattern, LoadPolicy policy, long seed) {
        LoadRun run = new LoadRun(fleet, pattern, policy, seed);
        run.play();
        return run.result;
    }

    EventQueue events() {
        return events;
    }

    FleetModel fleet() {
        return fleet;
    }

    LoadPolicy policy() {
        return policy;
    }

    SplittableRandom random() {
        return random;
    }

    ModelEndpoint endpoint(String id) {
        return endpoints.get(id);
    }

    List<ModelHost> hosts(String region) {
        return hostsByRegion.get(region);
    }

    String anyZone(String region) {
        return fleet.zones().stream()
                .filter(zone -> fleet.regionsByZone().get(zone).equals(region))
                .findFirst()
                .orElseThrow();
    }

    private void play() {
        for (String zone : fleet.zones()) {
            for (int i = 0; i < fleet.hosts(zone); i++) {
                ModelHost host = new ModelHost(this, zone + "-" + i, zone);
                hosts.add(host);
                hostsByRegion
                        .computeIfAbsent(host.region(), key -> new ArrayList<>())
                        .add(host);
            }
        }
        for (ServiceModel service : fleet.services()) {
            for (String zone : fleet.zones()) {
                for (int i = 0; i < service.endpointsByZone().getOrDefault(zone, 0); i++) {
                    addEndpoint(service, zone);
                }
            }
        }
        scheduleReports();
        for (LoadPattern.Disturbance disturbance : pattern.disturbances()) {
            events.afterMillis(
                    disturbance.atSecond() * MILLIS_PER_SECOND,
                    () -> disturbance.action().accept(this));
        }
        for (ServiceModel service : fleet.services()) {
            for (String zone : fleet.zones()) {
                scheduleArrival(service, zone);
            }
        }
        events.runUntil((long) ((pattern.seconds() + END_SECONDS) * NANOS_PER_SECOND));
        endpoints
                .values()
                .forEach(endpoint ->
                        result.recordStarts(endpoint.entry().service(), endpoint.started(), endpoint.uncached()));
    }

    private void scheduleReports() {
        events.everyMillis(PLAN_INTERVAL_MILLIS, () -> {
            Map<String, Map<String, Double>> busy = busySlots();
            hosts.forEach(host -> host.updatePlan(busy));
        });
    }

    private Map<String, Map<String, Double>> busySlots() {
        Map<String, Map<String, Double>> busy = new HashMap<>();
        for (ModelHost host : hosts) {
            Map<String, Double> region = busy.computeIfAbsent(host.region(), key -> new HashMap<>());
            host.busySlots().forEach((service, slots) -> region.merge(service, slots, Double::sum));
        }
        return busy;
    }

    private void scheduleArrival(ServiceModel service, String zone) {
        double second = (double) events.nowNanos() / NANOS_PER_SECOND;
        if (second >= pattern.seconds()) {
            return;
        }
        double perSecond = service.requestsPerSecond()
                / fleet.zones().size()
                * pattern.rate().at(zone, service.name(), second);
        // A rate of zero is checked again after a tenth of a second.
        boolean arrives = perSecond > 0;
        double wait = arrives ? -Math.log(1 - random.nextDouble()) / perSecond : 0.1;
        events.afterMillis(wait * MILLIS_PER_SECOND, () -> {
            if (arrives) {
                arrive(service, zone);
            }
            scheduleArrival(service, zone);
        });
    }

    private void arrive(ServiceModel service, String zone) {
        String region = fleet.regionsByZone().get(zone);
        String object = region + "-" + service.name() + "-" + random.nextInt(service.objectsPerRegion());
        attempt(service, zone, object, events.nowNanos(), true);
    }

    /** Records that a host of a region sends a request to an endpoint. */
    void recordArrival(EndpointStatus endpoint, String fromRegion) {
        int second = (int) (events.nowNanos() / NANOS_PER_SECOND);
        result.recordArrival(
                fromRegion, endpoints.get(endpoint.entry().id()), second, endpoint.isCold(events.nowNanos()));
    }

    private void attempt(ServiceModel service, String zone, String object, long firstNanos, boolean mayReturn) {
        List<ModelHost> candidates = hostsByRegion.get(fleet.regionsByZone().get(zone));
        ModelHost host = candidates.get(random.nextInt(candidates.size()));
        double remaining = service.deadlineMillis() - (events.nowNanos() - firstNanos) / NANOS_PER_MILLI;
        host.handle(service, object, remaining, (end, returnMillis) -> {
            boolean retries = end == LoadResult.End.REFUSED || (end == LoadResult.End.FAILED && service.repeatable());
            double left = service.deadlineMillis() - (events.nowNanos() - firstNanos) / NANOS_PER_MILLI;
            if (mayReturn && retries && left > 0) {
                double wait = Math.min(returnMillis, MAX_RETURN_FRACTION * left);
                events.afterMillis(wait, () -> attempt(service, zone, object, firstNanos, false));
                return;
            }
            double millis = (events.nowNanos() - firstNanos) / NANOS_PER_MILLI;
            LoadResult.End counted =
                    end == LoadResult.End.IN_TIME && millis > service.targetMillis() ? LoadResult.End.LATE : end;
            result.record(service.name(), zone, (int) (firstNanos / NANOS_PER_SECOND), counted);
        });
    }

    private void addEndpoint(ServiceModel service, String zone) {
        String id = service.name() + "-" + nextEndpoint++;
        EndpointEntry entry = new EndpointEntry(
                id,
                1,
                service.name(),
                "10.0.0.1",
                80,
                zone,
                fleet.regionsByZone().get(zone),
                service.slots(),
                false,
                0);
        endpoints.put(id, new ModelEndpoint(events, random.split(), service, entry));
        hosts.forEach(host -> host.registry().put(entry, events.nowNanos()));
    }

    /** Makes endpoints cold for some milliseconds; they also forget their objects. */
    void makeCold(Predicate<EndpointEntry> which, long coldMillis) {
        for (ModelEndpoint endpoint : endpoints.values()) {
            EndpointEntry entry = endpoint.entry();
            if (which.test(entry)) {
                endpoint.clearCache();
                EndpointEntry cold = new EndpointEntry(
                        entry.id(),
                        entry.startedMillis(),
                        entry.service(),
                        entry.host(),
                        entry.port(),
                        entry.zone(),
                        entry.region(),
                        entry.slots(),
                        false,
                        coldMillis);
                hosts.forEach(host -> host.registry().put(cold, events.nowNanos()));
            }
        }
    }

    /** Evacuates zones; an empty set ends the evacuation. */
    void evacuate(Set<String> zones) {
        hosts.forEach(host -> host.registry().setEvacuatedZones(zones));
    }

    /** Removes endpoints from the lists of the hosts; their requests in progress end. */
    void removeEndpoints(Predicate<EndpointEntry> which) {
        for (ModelEndpoint endpoint : List.copyOf(endpoints.values())) {
            if (which.test(endpoint.entry())) {
                hosts.forEach(host -> host.registry().remove(endpoint.entry().id()));
            }
        }
    }

    /** Changes endpoints in place. */
    void changeEndpoints(Predicate<EndpointEntry> which, Consumer<ModelEndpoint> change) {
        endpoints.values().stream()
                .filter(endpoint -> which.test(endpoint.entry()))
                .forEach(change);
    }
}
