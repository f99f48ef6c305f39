package io.carawaylift.loadmodel;

import io.carawaylift.decisions.dispatch.DispatchRequest;
import io.carawaylift.decisions.dispatch.RouteLoad;
import io.carawaylift.decisions.dispatch.ServiceDemand;
import io.carawaylift.decisions.dispatch.ServiceDispatcher;
import io.carawaylift.decisions.dispatch.ServiceDispatcher.Decision;
import io.carawaylift.decisions.dispatch.ServicePlan;
import io.carawaylift.decisions.dispatch.ServiceRoutes;
import io.carawaylift.decisions.dispatch.WaitingRequests;
import io.carawaylift.decisions.fleet.EndpointEntry;
import io.carawaylift.decisions.fleet.EndpointPicker;
import io.carawaylift.decisions.fleet.EndpointPicker.Choice;
import io.carawaylift.decisions.fleet.EndpointRegistry;
import io.carawaylift.decisions.fleet.EndpointStatus;
import io.carawaylift.decisions.fleet.ProcessingTimes;
import io.carawaylift.decisions.fleet.RegionShares;
import io.carawaylift.decisions.fleet.Rendezvous;
import io.carawaylift.decisions.route.RequestKind;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** A host: sends the requests of its callers to endpoints with the decisions of the product. */
final class ModelHost {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double INITIAL_LOCAL_UTILIZATION = 0.65;
    private static final double MAX_SHIFT_PER_SECOND = 0.0375;

    /** Max endpoints to which a request is sent. */
    private static final int MAX_SENDS = 3;

    private final LoadRun run;
    private final String name;
    private final String zone;
    private final String region;
    private final EndpointRegistry registry;
    private final EndpointPicker picker;
    private final Map<String, Traffic> traffic = new TreeMap<>();

    /** What the host knows of one service. */
    private final class Traffic {
        private final ServiceDemand demand;
        private final ServiceRoutes routes;
        private final ServiceDispatcher dispatcher;
        private final ServicePlan plan;
        private final WaitingRequests<Pending> waiting = new WaitingRequests<>(pending -> pending.dispatch);

        Traffic(ServiceModel service) {
            long now = run.events().nowNanos();
            demand = new ServiceDemand(now);
            plan = new ServicePlan(service.name(), registry, region, (double) service.targetMillis());
            dispatcher = ServiceDispatcher.builder()
                    .service(service.name())
                    .picker(picker)
                    .processingTimes(new ProcessingTimes(service.targetMillis()))
                    .shares(new RegionShares(region, INITIAL_LOCAL_UTILIZATION, MAX_SHIFT_PER_SECOND))
                    .regions(run.fleet().regions())
                    .roundTripMillis(
                            other -> other.equals(region) ? 0 : 2 * run.fleet().delayMillis(zone, run.anyZone(other)))
                    .coldRate(service::coldPerSecond)
                    .mayWarmUp(ModelHost.this::mayWarmUp)
                    .build();
            routes = new ServiceRoutes(service.name(), dispatcher.processingTimes());
            plan.start(dispatcher, run.fleet().regionsByZone().values(), now);
        }
    }

    /** A request of a caller on this host. */
    private static final class Pending {
        private final Traffic traffic;
        private final ServiceModel kind;
        private final RouteLoad route;
        private final String object;
        private final DispatchRequest dispatch;
        private final long deadlineNanos;
        private final RequestEnd end;
        private int sends;
        private boolean ended;

        Pending(
                Traffic traffic,
                ServiceModel kind,
                RouteLoad route,
                String object,
                DispatchRequest dispatch,
                long deadlineNanos,
                RequestEnd end) {
            this.traffic = traffic;
            this.kind = kind;
            this.route = route;
            this.object = object;
            this.dispatch = dispatch;
            this.deadlineNanos = deadlineNanos;
            this.end = end;
        }
    }

    /** Receives the end of a request at the host. */
    interface RequestEnd {
        /** Called when the request ended; {@code returnMillis} is set for a refusal. */
        void ended(LoadResult.End end, double returnMillis);
    }

    ModelHost(LoadRun run, String name, String zone) {
        this.run = run;
        this.name = name;
        this.zone = zone;
        this.region = run.fleet().regionsByZone().get(zone);
        this.registry = new EndpointRegistry(run.policy() == LoadPolicy.FIXED_PACE);
        this.picker = new EndpointPicker(registry, zone, name.hashCode());
    }

    String region() {
        return region;
    }

    EndpointRegistry registry() {
        return registry;
    }

    private boolean mayWarmUp(EndpointEntry endpoint) {
        if (!endpoint.region().equals(region)) {
            return false;
        }
        long own = Rendezvous.weight(endpoint.id(), name);
        return run.hosts(region).stream().noneMatch(other -> Rendezvous.weight(endpoint.id(), other.name) > own);
    }

    private Traffic traffic(ServiceModel service) {
        return traffic.computeIfAbsent(
                service.pool(), key -> new Traffic(run.fleet().service(key)));
    }

    void handle(ServiceModel service, String object, double remainingMillis, RequestEnd end) {
        long now = run.events().nowNanos();
        Traffic of = traffic(service);
        String key = run.policy() != LoadPolicy.WITHOUT_AFFINITY && service.affinity() ? object : "";
        of.demand.arrived(key, now);
        RouteLoad route =
                of.routes.route(service.name(), RequestKind.SAFE, service.priority(), service.targetMillis(), now);
        route.arrived(now);
        double allowed = Math.min(remainingMillis, (double) service.timeoutMillis());
        long deadlineNanos = now + (long) (allowed * NANOS_PER_MILLI);
        DispatchRequest dispatch = DispatchRequest.builder()
                .object(key)
                .priority(service.priority())
                .arrivedNanos(now)
                .targetMillis(service.targetMillis())
                .timeoutMillis(service.timeoutMillis())
                .deadlineNanos(deadlineNanos)
                .largeResponse(service.largeResponse())
                .times(route.times())
                .build();
        Pending pending = new Pending(of, service, route, object, dispatch, deadlineNanos, end);
        sendOrWait(pending);
    }

    private void sendOrWait(Pending pending) {
        if (!trySend(pending)) {
            long now = run.events().nowNanos();
            pending.dispatch.waitFrom(now);
            pending.traffic.waiting.add(pending);
            for (long millis : ServiceDispatcher.decisionTimesMillis(pending.dispatch)) {
                run.events().afterMillis((double) millis, () -> retry(pending));
            }
        }
    }

    private void retry(Pending pending) {
        if (!pending.ended && trySend(pending)) {
            pending.traffic.waiting.remove(pending);
        }
    }

    /** Returns whether the request no longer waits. */
    private boolean trySend(Pending pending) {
        if (pending.ended) {
            return true;
        }
        long now = run.events().nowNanos();
        Decision decision = pending.traffic.dispatcher.decide(pending.dispatch, now);
        switch (decision.verdict()) {
            case SEND -> send(pending, decision.choice().orElseThrow());
            case REFUSE -> refuse(pending);
            case WAIT -> {
                return false;
            }
        }
        return true;
    }

    private void refuse(Pending pending) {
        long now = run.events().nowNanos();
        double returnMillis = pending.traffic.dispatcher.returnMillis(
                pending.dispatch, run.random().nextDouble(), now);
        end(pending, LoadResult.End.REFUSED, returnMillis);
    }

    private void end(Pending pending, LoadResult.End how, double returnMillis) {
        if (!pending.ended) {
            pending.ended = true;
            pending.end.ended(how, returnMillis);
        }
    }

    private void send(Pending pending, Choice choice) {
        EndpointStatus status = choice.endpoint();
        long sentNanos = run.events().nowNanos();
        status.requestSent(pending.dispatch.object(), sentNanos);
        registry.health().tried(status.entry().id(), sentNanos);
        pending.sends++;
        double delay = run.fleet().delayMillis(zone, status.entry().zone());
        run.recordArrival(status, region);
        run.events()
                .afterMillis(
                        delay,
                        () -> run.endpoint(status.entry().id())
                                .receive(
                                        pending.kind,
                                        pending.object,
                                        pending.deadlineNanos,
                                        (outcome, running, waiting, percent) -> run.events()
                                                .afterMillis(
                                                        delay,
                                                        () -> ended(
                                                                pending, choice, sentNanos, outcome, running, waiting,
                                                                percent))));
    }

    private void ended(
            Pending pending,
            Choice choice,
            long sentNanos,
            ModelEndpoint.Outcome outcome,
            int running,
            int waiting,
            double percent) {
        EndpointStatus status = choice.endpoint();
        long now = run.events().nowNanos();
        status.requestEnded();
        status.loadReported(running, waiting, percent, now);
        String id = status.entry().id();
        switch (outcome) {
            case ANSWERED -> {
                if (registry.health().succeeded(id, now)) {
                    status.pace().startRamp(now);
                }
                status.outcome(true, now);
                recordProcessingTime(pending, choice, (now - sentNanos) / NANOS_PER_MILLI);
                end(pending, LoadResult.End.IN_TIME, 0);
            }
            case REJECTED -> {
                status.outcome(false, now);
                pending.dispatch.exclude(id);
                if (pending.sends < MAX_SENDS && now < pending.deadlineNanos) {
                    sendOrWait(pending);
                } else {
                    refuse(pending);
                }
            }
            case FAILED -> {
                status.outcome(false, now);
                registry.health().failed(id, now);
                end(pending, LoadResult.End.FAILED, 0);
            }
        }
        pending.traffic.waiting.sendFirst(this::trySend);
    }

    private void recordProcessingTime(Pending pending, Choice choice, double millis) {
        if (!choice.slotFree()) {
            return;
        }
        double processing = Math.max(
                1,
                millis
                        - 2
                                * run.fleet()
                                        .delayMillis(
                                                zone, choice.endpoint().entry().zone()));
        long now = run.events().nowNanos();
        double speed = choice.endpoint().speed(now);
        ProcessingTimes times = pending.route.times();
        choice.endpoint().responseReceived(processing / speed, times.expectedMillis(choice.expectedCached()), now);
        times.add(choice.expectedCached(), processing, speed);
        pending.traffic.dispatcher.processingTimes().add(choice.expectedCached(), processing, speed);
    }

    /** Returns the slots that this host's callers keep busy, by service. */
    Map<String, Double> busySlots() {
        Map<String, Double> busy = new HashMap<>();
        traffic.forEach((service, each) -> {
            busy.put(service, each.routes.busySlots());
            busy.putAll(each.routes.busySlotsByRank());
        });
        return busy;
    }

    void updatePlan(Map<String, Map<String, Double>> busyByRegion) {
        long now = run.events().nowNanos();
        traffic.forEach((service, each) -> {
            each.routes.updateRates(now);
            Map<String, Double> demand = new TreeMap<>();
            busyByRegion.forEach((other, slots) -> demand.put(other, slots.getOrDefault(service, 0.0)));
            each.plan.update(each.dispatcher, demand, each.demand.recentObjects(now), now);
            each.routes.updateReserve(busyByRegion, each.plan.totalSlots(now));
            each.dispatcher.setReserve(each.routes::reservedFraction);
        });
    }
}
