package io.carawaylift.host;

import io.carawaylift.decisions.customer.KeyUse;
import io.carawaylift.decisions.dispatch.ServiceDispatcher;
import io.carawaylift.decisions.dispatch.ServicePlan;
import io.carawaylift.decisions.fleet.EndpointEntry;
import io.carawaylift.decisions.fleet.EndpointPicker;
import io.carawaylift.decisions.fleet.EndpointRegistry;
import io.carawaylift.decisions.fleet.EndpointStatus;
import io.carawaylift.decisions.fleet.ProcessingTimes;
import io.carawaylift.decisions.fleet.RegionShares;
import io.carawaylift.decisions.fleet.Rendezvous;
import io.carawaylift.decisions.fleet.SharedRetryBudget;
import io.carawaylift.decisions.route.Route;
import io.carawaylift.decisions.route.RouteTable;
import io.carawaylift.decisions.route.ServiceProfile;
import io.carawaylift.decisions.route.ServiceRotation;
import io.carawaylift.host.drain.ProcessingWindow;
import io.carawaylift.host.quota.HostQuotas;
import io.carawaylift.model.ResultCode;
import io.carawaylift.peer.Message;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Starts the processing of callers' requests and holds the state that they share. Used on the event loop only. */
final class Forwarder implements CallerHandler {
    /** Fraction of a region's slots up to which requests stay in the region until the first plan. */
    private static final double INITIAL_LOCAL_UTILIZATION = 0.65;

    /**
     * Fraction of the max region shift that is used per second. The shift is measured between windows of two seconds,
     * in which a steady change counts twice; the remaining half allows for random variation.
     */
    private static final double SHIFT_FRACTION_PER_SECOND = 0.25;

    private final HostOptions options;
    private final HostLoop loop;
    private final EventLog log;
    private final HostMetrics metrics;
    private final StoreView storeView;
    private final EndpointRegistry registry;
    private final EndpointConnectionPool pool;
    private final EndpointPicker picker;
    private final HostMembership membership;
    private final EndpointPushBack pushBack;
    private final HostQuotas quotas;
    private final RequestAccess.Source access;
    private final ProcessingWindow window = new ProcessingWindow();
    private final Map<String, ServiceTraffic> traffic = new HashMap<>();
    private final Map<String, ServiceRotation> rotations = new HashMap<>();
    private final Map<String, Double> roundTripMillisByRegion = new HashMap<>();
    private final Set<String> regions;

    /**
     * Whether this host sends to an endpoint while it is cold, by endpoint id. Computed again for each plan, since
     * hosts start and stop.
     */
    private final Map<String, Boolean> warmsUpHere = new HashMap<>();

    private final SplittableRandom random = new SplittableRandom();
    private HostOptions.SharedLimits limits;
    private int openRequests;

    Forwarder(
            HostOptions options,
            HostLoop loop,
            EventLog log,
            HostMetrics metrics,
            StoreView storeView,
            EndpointRegistry registry,
            EndpointConnectionPool pool,
            HostMembership membership,
            HostQuotas quotas,
            RequestAccess.Source access) {
        this.options = options;
        this.limits = options.limits();
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
        this.storeView = storeView;
        this.registry = registry;
        this.pool = pool;
        this.membership = membership;
        this.pushBack = new EndpointPushBack(
                registry,
                loop,
                log,
                metrics,
                this::closeIdleConnections,
                this::sendQueuedRequests,
                membership::broadcast);
        this.quotas = quotas;
        this.access = access;
        this.picker = new EndpointPicker(
                registry, options.host().failureDomain(), options.host().id().hashCode());
        this.regions = new LinkedHashSet<>(options.regionsByZone().values());
    }

    @Override
    public CallerRequest handle(CallerExchange caller, HttpRequest head, BodyBuffer body, long arrivedNanos) {
        CallerRequest request = new CallerRequest(this, caller, head, body, arrivedNanos);
        openRequests++;
        request.start();
        return request;
    }

    @Override
    public boolean isConcurrent(HttpRequest head) {
        return usableTable()
                .flatMap(table -> table.match(head.headers().get(HttpHeaderNames.HOST, ""), head.uri()))
                .map(route -> route.kind().idempotent())
                .orElse(false);
    }

    @Override
    public void refused(HttpRequest head, ResultCode code, int status) {
        metrics.count("carawaylift.requests", "code", code.name(), "route", "");
        log.event(
                "request.refused_unread",
                line -> line.put("target", head == null ? "" : head.uri())
                        .put("code", code.number())
                        .put("status", status));
    }

    /** Applies changed limits to the services in use and to new ones. */
    void setLimits(HostOptions.SharedLimits newer) {
        limits = newer;
        traffic.values().forEach(each -> {
            each.retries()
                    .setLimits(
                            newer.retryRatio(),
                            newer.retryAllowance(),
                            newer.retryWindow().toNanos());
            each.dispatcher().shares().setMaxChangePerSecond(newer.maxRegionShift() * SHIFT_FRACTION_PER_SECOND);
        });
    }

    HostLoop loop() {
        return loop;
    }

    EventLog log() {
        return log;
    }

    HostMetrics metrics() {
        return metrics;
    }

    EndpointRegistry registry() {
        return registry;
    }

    EndpointPushBack pushBack() {
        return pushBack;
    }

    EndpointConnectionPool pool() {
        return pool;
    }

    String ownRegion() {
        return options.host().region();
    }

    /** Returns the configuration, or empty if too little is known to forward requests. */
    Optional<RouteTable> usableTable() {
        return storeView.isComplete() ? storeView.table() : Optional.empty();
    }

    /** Returns what the check of a request's key depends on. */
    RequestAccess.Source access() {
        return access;
    }

    /** Returns how long requests are still processed. */
    ProcessingWindow window() {
        return window;
    }

    HostQuotas quotas() {
        return quotas;
    }

    /** Returns a random number between 0 and 1. */
    double randomFraction() {
        return random.nextDouble();
    }

    int openRequests() {
        return openRequests;
    }

    void requestEnded() {
        openRequests--;
    }

    String chooseService(Route route) {
        return rotations
                .computeIfAbsent(route.name(), name -> new ServiceRotation())
                .next(route);
    }

    ServiceTraffic traffic(String service, Route route) {
        return traffic.computeIfAbsent(service, name -> newTraffic(service, (double) route.targetLatencyMillis()));
    }

    private ServiceTraffic newTraffic(String service, double targetMillis) {
        long now = System.nanoTime();
        ServiceDispatcher dispatcher = ServiceDispatcher.builder()
                .service(service)
                .picker(picker)
                .processingTimes(new ProcessingTimes(targetMillis))
                .shares(new RegionShares(
                        ownRegion(), INITIAL_LOCAL_UTILIZATION, limits.maxRegionShift() * SHIFT_FRACTION_PER_SECOND))
                .regions(regions)
                .roundTripMillis(this::roundTripMillis)
                .coldRate(() -> coldRate(service))
                .mayWarmUp(this::mayWarmUp)
                .scarce(this::isScarce)
                .remainingNanos(window::remainingNanos)
                .build();
        ServicePlan plan = new ServicePlan(service, registry, ownRegion(), targetMillis);
        plan.start(dispatcher, options.regionsByZone().values(), now);
        SharedRetryBudget retries = new SharedRetryBudget(
                limits.retryRatio(),
                limits.retryAllowance(),
                limits.retryWindow().toNanos());
        return new ServiceTraffic(dispatcher, plan, retries, now);
    }

    /** Returns the number of hosts that share limits with this one, including this one. */
    int hostCount() {
        return membership.listedHosts();
    }

    /**
     * Returns whether customers compete for capacity. Deployments without customers keep the rules under which they were
     * sized: with those for scarce capacity, desk lookups at endpoints of uneven speed were in time half as often.
     */
    boolean isScarce() {
        return storeView.customers().keyUse() == KeyUse.REQUIRED;
    }

    /**
     * Returns the requests per second that a cold endpoint of a service tolerates, summed over all hosts; 1 if unknown.
     */
    double coldRate(String service) {
        return storeView
                .table()
                .flatMap(table -> table.service(service))
                .map(ServiceProfile::coldRequestsPerSecond)
                .orElse(1.0);
    }

    /**
     * Returns whether this host warms up a cold endpoint. That is the host with the highest rendezvous weight among the
     * live hosts of the endpoint's region that take requests.
     */
    boolean mayWarmUp(EndpointEntry endpoint) {
        return warmsUpHere.computeIfAbsent(endpoint.id(), id -> isWarmUpHostOf(endpoint));
    }

    private boolean isWarmUpHostOf(EndpointEntry endpoint) {
        if (!membership.isSettled() || !endpoint.region().equals(ownRegion())) {
            return false;
        }
        long own = Rendezvous.weight(endpoint.id(), options.host().id());
        for (Message.HostReport other : membership.liveHostsInRegion()) {
            if (other.takesRequests() && Rendezvous.weight(endpoint.id(), other.host()) > own) {
                return false;
            }
        }
        return true;
    }

    /** Records the milliseconds that it took to connect to an endpoint of a region, which are one round trip. */
    void recordConnectTime(String region, double millis) {
        double known = roundTripMillisByRegion.getOrDefault(region, millis);
        // The minimum is the network latency; slower connects include load at the endpoint.
        roundTripMillisByRegion.put(region, Math.min(millis, known));
    }

    /** Returns the round trip time to a region in milliseconds, 0 if unknown. */
    double roundTripMillis(String region) {
        return roundTripMillisByRegion.getOrDefault(region, 0.0);
    }

    /** Returns the busy slots by service, for the report to other hosts. */
    Map<String, Double> busySlots() {
        Map<String, Double> busy = new HashMap<>();
        traffic.forEach((service, each) -> each.reportBusySlots(service, busy));
        return busy;
    }

    /** Updates the arrival rates and the shares of the regions, then sends queued requests. */
    void updatePlan() {
        long now = System.nanoTime();
        warmsUpHere.clear();
        traffic.values().forEach(each -> each.updateRate(now));
        Map<String, Map<String, Double>> busy = membership.busySlots();
        traffic.forEach((service, each) -> {
            Map<String, Double> demand = new TreeMap<>();
            busy.forEach((region, slots) -> demand.put(region, slots.getOrDefault(service, 0.0)));
            each.updatePlan(demand, now);
            each.updateReserve(busy, now);
            each.sendQueued();
        });
    }

    /** Closes the idle connections to an endpoint that gets no new requests. */
    void closeIdleConnections(EndpointStatus endpoint) {
        pool.closeIdle(endpoint);
    }

    /** Tries again to send the queued requests. */
    void sendQueuedRequests() {
        List.copyOf(traffic.values()).forEach(ServiceTraffic::sendQueued);
    }
}
