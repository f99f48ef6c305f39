package io.carawaylift.entry;

import io.carawaylift.decisions.steering.OwnerSelector;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.UpstreamRow;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Chooses upstream and owner for a request. Thread-safe. */
final class Steering {
    private final EntryProcess self;
    private final QueueShards queueShards;
    private final LinkPacer pacer;
    private final LongSupplier clock;
    private final OwnerSelector ownerSelector = new OwnerSelector();
    private final Map<String, ServiceSteering> services = new ConcurrentHashMap<>();
    private final AtomicLong seed;
    private volatile Topology topology;

    Steering(EntryProcess self, QueueShards queueShards, LinkPacer pacer, LongSupplier clock) {
        this.self = self;
        this.queueShards = queueShards;
        this.pacer = pacer;
        this.clock = clock;
        this.seed = new AtomicLong(new SplittableRandom(self.hashCode()).nextLong());
    }

    /** Applies a new topology. A table of the same version does not restart the gradual change of shares. */
    void topology(Topology current) {
        boolean newTable = topology == null || topology.tableVersion() != current.tableVersion();
        topology = current;
        if (newTable) {
            services.values().forEach(service -> service.updateTable(current.table(), clock.getAsLong()));
        }
    }

    Topology topology() {
        return topology;
    }

    ServiceSteering service(String name) {
        return services.computeIfAbsent(name, key -> {
            ServiceSteering service = new ServiceSteering(key);
            service.updateTable(topology.table(), clock.getAsLong());
            return service;
        });
    }

    /** Returns a route that is not in {@code excluded}, or empty if no upstream may take the request now. */
    Optional<OwnerRoute> choose(InboundRequest request, Set<OwnerRoute> excluded) {
        Topology current = topology;
        Map<String, List<OwnerSelector.Candidate>> candidates = new HashMap<>();
        Set<String> usable = new HashSet<>();
        for (UpstreamRow row : current.table().upstreamsOf(request.service())) {
            List<OwnerSelector.Candidate> owners = owners(current, row, request, excluded);
            if (!row.drain() && !owners.isEmpty()) {
                usable.add(row.name());
                candidates.put(row.name(), owners);
            }
        }
        Optional<String> upstream = service(request.service()).choose(usable, clock.getAsLong());
        return upstream.flatMap(name -> ownerSelector
                .choose(candidates.get(name), seed.incrementAndGet())
                .map(owner -> new OwnerRoute(name, owner)));
    }

    private List<OwnerSelector.Candidate> owners(
            Topology current, UpstreamRow row, InboundRequest request, Set<OwnerRoute> excluded) {
        List<OwnerSelector.Candidate> found = new ArrayList<>();
        if (!pacer.canSendBefore(row.region(), request.deadlineNanos())) {
            return found;
        }
        current.ownersOf(row.name()).forEach((owner, slots) -> {
            OwnerRoute route = new OwnerRoute(row.name(), owner);
            if (slots > 0 && !excluded.contains(route) && isReachable(current, route)) {
                found.add(new OwnerSelector.Candidate(owner, slots, queueShards.outstanding(route, request.rank())));
            }
        });
        return found;
    }

    /**
     * Returns whether the owner can receive requests. A terminated owner keeps its endpoints until its lease and the
     * longest deadline have passed, so failures observed by this process count immediately.
     */
    private boolean isReachable(Topology current, OwnerRoute route) {
        boolean local = route.owner().equals(self);
        return local || (current.member(route.owner()).isPresent() && queueShards.mayTry(route));
    }
}
