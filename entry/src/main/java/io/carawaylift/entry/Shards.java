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
 * The queue shards of this process: an {@link AdmissionQueue} per upstream in front of the endpoints that it owns, and one
 * per other owner and upstream in front of the window of requests to it. Thread-safe.
 */
final class Shards {
    /**
     * Requests outstanding at an owner per slot of it: as many as run, and as many again so that the owner's queue always
     * has the next one while answers travel.
     */
    private static final int WINDOW_PER_SLOT = 2;

    /** Requests forwarded by their ticket to one process at a time. */
    private static final int TICKET_WINDOW = 64;

    private final EntryProcess self;
    private final String region;
    private final int capacity;
    private final LongSupplier clock;
    private final LeaseBook leases;
    private final OutboundCalls calls;
    private final LinkPacer pacer;
    private final EntryMetrics metrics;
    private final Map<String, Local> local = new ConcurrentHashMap<>();
    private final Map<Route, Remote> remote = new ConcurrentHashMap<>();
    private volatile Topology topology;

    private record Local(EndpointPool pool, QueueShard shard) {}

    private record Remote(OwnerSlots slots, QueueShard shard) {}

    Shards(
            EntryProcess self,
            EntrySettings settings,
            LongSupplier clock,
            LeaseBook leases,
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

    /** Takes a new topology into all shards. */
    void topology(Topology current) {
        topology = current;
        for (UpstreamRow row : current.table().upstreams()) {
            List<EndpointSlots> owned = current.endpointsOwnedBy(self, row.name());
            if (!owned.isEmpty()) {
                local.computeIfAbsent(row.name(), this::createLocal);
            }
        }
        local.forEach((upstream, shard) -> {
            List<EndpointSlots> owned = current.endpointsOwnedBy(self, upstream);
            shard.shard.change(() -> shard.pool.endpoints(owned));
            shard.shard.floors(current.floors());
        });
        remote.forEach((route, shard) -> {
            shard.slots.window(window(route));
            shard.shard.floors(current.floors());
        });
        remote.keySet().removeIf(route -> window(route) == 0 && isIdle(remote.get(route)));
        tick();
    }

    /** Starts what may start, refuses what expired, and refuses what can no longer be served here. */
    void tick() {
        local.values().forEach(shard -> {
            if (shard.shard.tick() && shard.pool.permitted(clock.getAsLong()) == 0) {
                shard.shard.refuseWaiting(ResultCode.NOT_OWNER, "no slot is permitted any more");
            }
        });
        remote.forEach((route, shard) -> {
            if (shard.shard.tick() && window(route) == 0) {
                shard.shard.refuseWaiting(ResultCode.NO_UPSTREAM, "owner " + route.owner() + " has no slots any more");
            }
        });
    }

    /** Returns whether an owner answered recently or is due for another try. */
    boolean mayTry(Route route) {
        Remote shard = remote.get(route);
        return shard == null || shard.shard.read(() -> shard.slots.mayTry(clock.getAsLong()));
    }

    /** Sends a request to an endpoint of an upstream that this process owns. */
    RunningAttempt dispatch(String upstream, InboundRequest request, ResultReceiver receiver) {
        Local shard = local.get(upstream);
        if (shard == null || shard.pool.permitted(clock.getAsLong()) == 0) {
            receiver.accept(Refused.of(ResultCode.NOT_OWNER, "upstream " + upstream + " at " + self));
            return NoAttempt.INSTANCE;
        }
        return shard.shard.submit(request, receiver);
    }

    /** Sends a request on a route, to this process itself or to another owner. */
    RunningAttempt send(Route route, InboundRequest request, ResultReceiver receiver) {
        if (route.owner().equals(self)) {
            return dispatch(route.upstream(), request, receiver);
        }
        return forward(route, request, receiver);
    }

    /** Forwards a request to the process that its ticket names. */
    RunningAttempt forwardByTicket(EntryProcess process, InboundRequest request, ResultReceiver receiver) {
        return forward(new Route("", process), request, receiver);
    }

    /**
     * Returns how many requests of at least a rank this process has outstanding or waiting on a route. Work of lower rank does
     * not count, because it does not delay the request; counting it sends urgent work to owners by the flood of other work.
     */
    int outstanding(Route route, Rank rank) {
        if (route.owner().equals(self)) {
            Local shard = local.get(route.upstream());
            return shard == null ? 0 : shard.shard.outstanding(rank);
        }
        Remote shard = remote.get(route);
        return shard == null ? 0 : shard.shard.outstanding(rank);
    }

    /** Returns the load of the upstreams that this process owns endpoints of, by name. */
    Map<String, UpstreamLoad> localLoads() {
        Map<String, UpstreamLoad> loads = new TreeMap<>();
        local.keySet().forEach(upstream -> load(upstream).ifPresent(load -> loads.put(upstream, load)));
        return loads;
    }

    /** Returns the load of an upstream, or empty if this process never owned an endpoint of it. */
    Optional<UpstreamLoad> load(String upstream) {
        return Optional.ofNullable(local.get(upstream))
                .map(shard -> new UpstreamLoad(shard.shard.load(), shard.pool.permitted(clock.getAsLong())));
    }

    /** Load of one upstream at this process with the slots that it may use now. */
    record UpstreamLoad(QueueShard.Load load, int usableSlots) {}

    /** Returns how many requests of this process are in flight at an endpoint. */
    int inFlight(String endpoint) {
        return local.values().stream()
                .mapToInt(shard -> shard.pool.inFlight(endpoint))
                .sum();
    }

    /** Returns whether nothing waits and nothing is in flight. */
    boolean isIdle() {
        return local.values().stream().allMatch(shard -> total(shard.shard.load()) == 0)
                && remote.values().stream().allMatch(Shards::isIdle);
    }

    private RunningAttempt forward(Route route, InboundRequest request, ResultReceiver receiver) {
        Optional<Member> member = topology.member(route.owner());
        if (member.isEmpty()) {
            receiver.accept(Refused.of(ResultCode.NO_UPSTREAM, "owner " + route.owner() + " is not a member"));
            return NoAttempt.INSTANCE;
        }
        return remote.computeIfAbsent(route, key -> createRemote(key, member.get()))
                .shard
                .submit(request, receiver);
    }

    private int window(Route route) {
        if (topology.member(route.owner()).isEmpty()) {
            return 0;
        }
        if (route.upstream().isEmpty()) {
            return TICKET_WINDOW;
        }
        return WINDOW_PER_SLOT * topology.ownersOf(route.upstream()).getOrDefault(route.owner(), 0);
    }

    private Local createLocal(String upstream) {
        metrics.upstream(this, upstream);
        DrainTimes drains = new DrainTimes(nanos -> metrics.drained(upstream, nanos));
        EndpointPool pool = new EndpointPool(leases, calls, clock, drains);
        return new Local(pool, new QueueShard(capacity, topology.floors(), pool, clock));
    }

    private Remote createRemote(Route route, Member member) {
        OwnerSlots slots = new OwnerSlots(PeerEntry.of(member), route.upstream(), region, calls, pacer);
        slots.window(window(route));
        return new Remote(slots, new QueueShard(capacity, topology.floors(), slots, clock));
    }

    private static boolean isIdle(Remote shard) {
        return shard != null && total(shard.shard.load()) == 0;
    }

    private static int total(QueueShard.Load load) {
        return load.inFlight()
                + load.waiting().values().stream().mapToInt(Integer::intValue).sum();
    }
}
