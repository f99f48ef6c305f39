package io.carawaylift.entry;

import io.carawaylift.decisions.admission.AdmissionQueue;
import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.entry.Topology.EndpointSlots;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.Rank;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.UpstreamRow;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * The queue shards of this process: one {@link AdmissionQueue} per upstream for the endpoints that it owns, and one per
 * other owner and upstream for the window of requests to that owner. Thread-safe.
 */
final class QueueShards {
    /**
     * Max outstanding requests per slot of another owner: one that runs and one in the owner's queue, so that the slot
     * does not idle for a round trip.
     */
    private static final int REQUESTS_PER_SLOT = 2;

    /** Max outstanding requests forwarded by ticket to one process. */
    private static final int TICKET_WINDOW = 64;

    private final EntryProcess self;
    private final String region;
    private final int capacity;
    private final LongSupplier clock;
    private final SynchronizedLeaseGuard leases;
    private final OutboundCalls calls;
    private final LinkPacer pacer;
    private final EntryMetrics metrics;
    private final Map<String, LocalQueue> localQueues = new ConcurrentHashMap<>();
    private final Map<OwnerRoute, RemoteQueue> remoteQueues = new ConcurrentHashMap<>();
    private volatile Topology topology;

    private record LocalQueue(OwnedEndpoints endpoints, QueueShard queue) {}

    private record RemoteQueue(OwnerWindow window, QueueShard queue) {}

    QueueShards(
            EntryProcess self,
            EntrySettings settings,
            LongSupplier clock,
            SynchronizedLeaseGuard leases,
            OutboundCalls calls,
            LinkPacer pacer,
            EntryMetrics metrics) {
        this.self = self;
        this.region = settings.host().region();
        this.capacity = settings.queueCapacity();
        this.clock = clock;
        this.leases = leases;
        this.calls = calls;
        this.pacer = pacer;
        this.metrics = metrics;
    }

    /** Applies a new topology to all shards. */
    void topology(Topology current) {
        topology = current;
        for (UpstreamRow row : current.table().upstreams()) {
            List<EndpointSlots> owned = current.endpointsOwnedBy(self, row.name());
            if (!owned.isEmpty()) {
                localQueues.computeIfAbsent(row.name(), this::createLocalQueue);
            }
        }
        localQueues.forEach((upstream, target) -> {
            List<EndpointSlots> owned = current.endpointsOwnedBy(self, upstream);
            target.queue.runLocked(() -> target.endpoints.update(owned));
            target.queue.floors(current.floors());
        });
        remoteQueues.forEach((route, target) -> {
            target.window.resize(windowSize(route));
            target.queue.floors(current.floors());
        });
        remoteQueues.keySet().removeIf(route -> windowSize(route) == 0 && isIdle(remoteQueues.get(route)));
        tick();
    }

    /** Dispatches requests to free slots, and refuses those that expired or can no longer be served here. */
    void tick() {
        localQueues.values().forEach(target -> {
            if (target.queue.tick() && target.endpoints.permittedSlots(clock.getAsLong()) == 0) {
                target.queue.refuseWaiting(ResultCode.NOT_OWNER, "no slot is permitted any more");
            }
        });
        remoteQueues.forEach((route, target) -> {
            if (target.queue.tick() && windowSize(route) == 0) {
                target.queue.refuseWaiting(ResultCode.NO_UPSTREAM, "owner " + route.owner() + " has no slots any more");
            }
        });
    }

    /** Returns whether requests may be sent to an owner: it responded recently or is due for another try. */
    boolean mayTry(OwnerRoute route) {
        RemoteQueue target = remoteQueues.get(route);
        return target == null || target.queue.readLocked(() -> target.window.mayTry(clock.getAsLong()));
    }

    /** Sends a request to an endpoint of an upstream that this process owns. */
    RunningAttempt dispatch(String upstream, InboundRequest request, ResultReceiver receiver) {
        LocalQueue target = localQueues.get(upstream);
        if (target == null || target.endpoints.permittedSlots(clock.getAsLong()) == 0) {
            receiver.accept(Refused.of(ResultCode.NOT_OWNER, "upstream " + upstream + " at " + self));
            return FinishedAttempt.INSTANCE;
        }
        return target.queue.submit(request, receiver);
    }

    /** Sends a request on a route whose owner is this process or another one. */
    RunningAttempt send(OwnerRoute route, InboundRequest request, ResultReceiver receiver) {
        if (route.owner().equals(self)) {
            return dispatch(route.upstream(), request, receiver);
        }
        return forward(route, request, receiver);
    }

    /** Forwards a request to the process that its ticket names. */
    RunningAttempt forwardByTicket(EntryProcess process, InboundRequest request, ResultReceiver receiver) {
        return forward(new OwnerRoute("", process), request, receiver);
    }

    /**
     * Returns how many requests of a rank or higher wait or are in flight on a route. Lower ranks are not counted,
     * because they do not delay the request; counting them would steer urgent requests by the load of deferrable ones.
     */
    int outstanding(OwnerRoute route, Rank rank) {
        if (route.owner().equals(self)) {
            LocalQueue target = localQueues.get(route.upstream());
            return target == null ? 0 : target.queue.outstanding(rank);
        }
        RemoteQueue target = remoteQueues.get(route);
        return target == null ? 0 : target.queue.outstanding(rank);
    }

    /** Returns the load of the upstreams of which this process owns or owned endpoints, by name. */
    Map<String, UpstreamLoad> localLoads() {
        Map<String, UpstreamLoad> loads = new TreeMap<>();
        localQueues.keySet().forEach(upstream -> load(upstream).ifPresent(load -> loads.put(upstream, load)));
        return loads;
    }

    /** Returns the load of an upstream, or empty if this process never owned one of its endpoints. */
    Optional<UpstreamLoad> load(String upstream) {
        return Optional.ofNullable(localQueues.get(upstream))
                .map(target ->
                        new UpstreamLoad(target.queue.load(), target.endpoints.permittedSlots(clock.getAsLong())));
    }

    /**
     * Load of one upstream at this process.
     *
     * @param usableSlots slots that may be used now
     */
    record UpstreamLoad(QueueShard.QueueLoad load, int usableSlots) {}

    /** Returns how many requests of this process are in flight at an endpoint. */
    int inFlight(String endpoint) {
        return localQueues.values().stream()
                .mapToInt(target -> target.endpoints.inFlight(endpoint))
                .sum();
    }

    /** Returns whether nothing waits and nothing is in flight. */
    boolean isIdle() {
        return localQueues.values().stream().allMatch(target -> total(target.queue.load()) == 0)
                && remoteQueues.values().stream().allMatch(QueueShards::isIdle);
    }

    private RunningAttempt forward(OwnerRoute route, InboundRequest request, ResultReceiver receiver) {
        Optional<Member> member = topology.member(route.owner());
        if (member.isEmpty()) {
            receiver.accept(Refused.of(ResultCode.NO_UPSTREAM, "owner " + route.owner() + " is not a member"));
            return FinishedAttempt.INSTANCE;
        }
        return remoteQueues
                .computeIfAbsent(route, key -> createRemoteQueue(key, member.get()))
                .queue
                .submit(request, receiver);
    }

    private int windowSize(OwnerRoute route) {
        if (topology.member(route.owner()).isEmpty()) {
            return 0;
        }
        if (route.upstream().isEmpty()) {
            return TICKET_WINDOW;
        }
        return REQUESTS_PER_SLOT * topology.ownersOf(route.upstream()).getOrDefault(route.owner(), 0);
    }

    private LocalQueue createLocalQueue(String upstream) {
        metrics.registerUpstream(this, upstream);
        DrainTimer drainTimer = new DrainTimer(nanos -> metrics.recordDrain(upstream, nanos));
        OwnedEndpoints endpoints = new OwnedEndpoints(leases, calls, clock, drainTimer);
        return new LocalQueue(endpoints, new QueueShard(capacity, topology.floors(), endpoints, clock));
    }

    private RemoteQueue createRemoteQueue(OwnerRoute route, Member member) {
        OwnerWindow window = new OwnerWindow(PeerEntry.of(member), route.upstream(), region, calls, pacer);
        window.resize(windowSize(route));
        return new RemoteQueue(window, new QueueShard(capacity, topology.floors(), window, clock));
    }

    private static boolean isIdle(RemoteQueue target) {
        return target != null && total(target.queue.load()) == 0;
    }

    private static int total(QueueShard.QueueLoad load) {
        return load.inFlight()
                + load.waiting().values().stream().mapToInt(Integer::intValue).sum();
    }
}
