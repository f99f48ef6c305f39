package io.carawaylift.host;

import io.carawaylift.decisions.dispatch.RouteLoad;
import io.carawaylift.decisions.dispatch.ServiceDemand;
import io.carawaylift.decisions.dispatch.ServiceDispatcher;
import io.carawaylift.decisions.dispatch.ServicePlan;
import io.carawaylift.decisions.dispatch.ServiceRoutes;
import io.carawaylift.decisions.dispatch.WaitingRequests;
import io.carawaylift.decisions.fleet.ProcessingTimes;
import io.carawaylift.decisions.fleet.SharedRetryBudget;
import io.carawaylift.decisions.route.Route;
import java.util.Map;

/** What the requests for one service share: demand, dispatch, retry budget and queue. Used on the event loop only. */
final class ServiceTraffic {
    private final ServiceDemand demand;
    private final ServiceDispatcher dispatcher;
    private final ServicePlan plan;
    private final SharedRetryBudget retries;
    private final ServiceRoutes routes;
    private final WaitingRequests<CallerRequest> waiting = new WaitingRequests<>(CallerRequest::dispatch);

    ServiceTraffic(ServiceDispatcher dispatcher, ServicePlan plan, SharedRetryBudget retries, long nowNanos) {
        this.routes = new ServiceRoutes(plan.service(), dispatcher.processingTimes());
        this.demand = new ServiceDemand(nowNanos);
        this.dispatcher = dispatcher;
        this.plan = plan;
        this.retries = retries;
    }

    ServiceDispatcher dispatcher() {
        return dispatcher;
    }

    ProcessingTimes processingTimes() {
        return dispatcher.processingTimes();
    }

    SharedRetryBudget retries() {
        return retries;
    }

    /** Records the arrival of a request for an object, whose key is empty if there is none. */
    void arrived(String object, long nowNanos) {
        retries.recordRequest(nowNanos);
        demand.arrived(object, nowNanos);
    }

    /** Returns the load of a route's requests for the service. */
    RouteLoad route(Route route, long nowNanos) {
        return routes.route(route.name(), route.kind(), route.priority(), route.targetLatencyMillis(), nowNanos);
    }

    /** Records the processing time of a request of a route. */
    void recordProcessingTime(RouteLoad route, boolean cached, double millis, double speed) {
        route.times().add(cached, millis, speed);
        processingTimes().add(cached, millis, speed);
    }

    /** Adds the mean numbers of slots in use by this host's requests, for the reports to other hosts. */
    void reportBusySlots(String service, Map<String, Double> busySlots) {
        busySlots.put(service, routes.busySlots());
        busySlots.putAll(routes.busySlotsByRank());
    }

    /** Updates the arrival rates; before {@link #updatePlan}. */
    void updateRate(long nowNanos) {
        routes.updateRates(nowNanos);
    }

    /** Updates the slots that are kept for more urgent requests from what the hosts of all regions reported. */
    void updateReserve(Map<String, Map<String, Double>> busySlotsByRegion, long nowNanos) {
        routes.updateReserve(busySlotsByRegion, plan.totalSlots(nowNanos));
        dispatcher.setReserve(routes::reservedFraction);
    }

    /** Updates the shares of the regions from the slots that the callers of each region keep busy. */
    void updatePlan(Map<String, Double> busySlots, long nowNanos) {
        plan.update(dispatcher, busySlots, demand.recentObjects(nowNanos), nowNanos);
    }

    /** Adds a request to the queue. */
    void enqueue(CallerRequest request) {
        waiting.add(request);
    }

    void dequeue(CallerRequest request) {
        waiting.remove(request);
    }

    /** Records that a request is sent, so that it counts as service of its customer. */
    void recordSent(CallerRequest request) {
        waiting.recordSent(request);
    }

    /** Tries to send the first of the queued requests. */
    void sendQueued() {
        waiting.sendFirst(CallerRequest::trySend);
    }
}
