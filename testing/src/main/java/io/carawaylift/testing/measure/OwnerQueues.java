package io.carawaylift.testing.measure;

import io.carawaylift.decisions.admission.AdmissionQueue;
import io.carawaylift.decisions.admission.OfferResult;
import io.carawaylift.decisions.admission.Work;
import io.carawaylift.decisions.steering.OwnerSelector;
import io.carawaylift.decisions.steering.OwnerSelector.Candidate;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Rank;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Admission policy of carawaylift: each endpoint has one owner, which queues requests by rank and customer. The windows
 * that entry processes keep for each owner are not simulated.
 */
final class OwnerQueues implements Policy {
    private static final int QUEUE_CAPACITY = 512;
    /**
     * How long a refused request counts as outstanding at the owner that refused it. Otherwise an owner that refuses
     * requests would appear least loaded and attract the requests of all customers.
     */
    private static final long REFUSAL_PENALTY_NANOS = Traffic.NANOS_PER_SECOND;

    private static final List<Rank> RANKS = List.of(Rank.values());

    private final OwnerSelector selector = new OwnerSelector();
    private final List<AdmissionQueue<SentRequest>> queues = new ArrayList<>();
    private final List<List<Integer>> endpoints = new ArrayList<>();
    private final Map<Long, Work<SentRequest>> running = new HashMap<>();
    private final List<EntryProcess> owners = new ArrayList<>();
    /** Unfinished requests by entry process, owner and rank. */
    private final int[][][] outstanding;

    private final Deque<RefusedRequest> refused = new ArrayDeque<>();
    private final ServiceSize size;

    OwnerQueues(ServiceSize size) {
        this.size = size;
        outstanding = new int[size.hosts()][size.hosts()][RANKS.size()];
        for (int host = 0; host < Math.min(size.hosts(), size.endpoints()); host++) {
            List<Integer> owned = new ArrayList<>();
            for (int endpoint = host; endpoint < size.endpoints(); endpoint += size.hosts()) {
                owned.add(endpoint);
            }
            endpoints.add(owned);
            owners.add(new EntryProcess("host-" + host, 1));
            queues.add(AdmissionQueue.<SentRequest>builder()
                    .capacity(QUEUE_CAPACITY)
                    .limit(owned.size() * size.slotsPerEndpoint())
                    .floors(size.floors())
                    .build());
        }
    }

    @Override
    public String name() {
        return "owner queues";
    }

    @Override
    public void arrived(Request request, Simulation simulation) {
        int entry = (int) Math.floorMod((request.id() * 0x9E3779B97F4A7C15L) >>> 32, (long) size.hosts());
        while (!refused.isEmpty() && refused.peek().untilNanos() <= simulation.nowNanos()) {
            requestEnded(refused.remove().sent());
        }
        int owner = chooseOwner(entry, request.rank(), request.id());
        SentRequest sent = new SentRequest(request, entry, owner);
        Work<SentRequest> work =
                new Work<>(request.id(), request.rank(), request.customer(), request.deadlineNanos(), sent);
        OfferResult<SentRequest> result = queues.get(owner).offer(work, simulation.nowNanos());
        outstanding[entry][owner][RANKS.indexOf(request.rank())]++;
        if (result.refusal().isPresent()) {
            refused.add(new RefusedRequest(sent, simulation.nowNanos() + REFUSAL_PENALTY_NANOS));
        } else {
            result.displaced().ifPresent(displaced -> requestEnded(displaced.payload()));
            startWaiting(owner, simulation);
        }
    }

    @Override
    public void finished(Request request, int endpoint, Simulation simulation) {
        Work<SentRequest> work = running.remove(request.id());
        int owner = work.payload().owner();
        queues.get(owner).finished(work, simulation.nowNanos());
        requestEnded(work.payload());
        startWaiting(owner, simulation);
    }

    @Override
    public int waiting() {
        int sum = 0;
        for (AdmissionQueue<SentRequest> queue : queues) {
            for (Rank rank : Rank.values()) {
                sum += queue.waiting(rank);
            }
        }
        return sum;
    }

    private void startWaiting(int owner, Simulation simulation) {
        AdmissionQueue<SentRequest> queue = queues.get(owner);
        Optional<Work<SentRequest>> next = queue.next(simulation.nowNanos());
        while (next.isPresent()) {
            int endpoint = leastLoadedEndpoint(owner, simulation);
            running.put(next.get().id(), next.get());
            simulation.send(endpoint);
            simulation.execute(next.get().payload().request(), endpoint);
            next = queue.next(simulation.nowNanos());
        }
        queue.expired(simulation.nowNanos()).forEach(work -> requestEnded(work.payload()));
    }

    /** Chooses an owner by the outstanding requests of this entry process that have the same or a higher rank. */
    private int chooseOwner(int entry, Rank rank, long seed) {
        List<Candidate> candidates = new ArrayList<>();
        for (int owner = 0; owner < queues.size(); owner++) {
            int[] sent = outstanding[entry][owner];
            int sameOrHigherRank = 0;
            for (int otherRank = 0; otherRank <= RANKS.indexOf(rank); otherRank++) {
                sameOrHigherRank += sent[otherRank];
            }
            candidates.add(new Candidate(owners.get(owner), ownerSlots(owner), sameOrHigherRank));
        }
        return owners.indexOf(selector.choose(candidates, seed).orElseThrow());
    }

    private int ownerSlots(int owner) {
        return endpoints.get(owner).size() * size.slotsPerEndpoint();
    }

    private void requestEnded(SentRequest sent) {
        outstanding[sent.entry()][sent.owner()][RANKS.indexOf(sent.request().rank())]--;
    }

    private int leastLoadedEndpoint(int owner, Simulation simulation) {
        int best = endpoints.get(owner).get(0);
        for (int endpoint : endpoints.get(owner)) {
            if (simulation.inFlight(endpoint) < simulation.inFlight(best)) {
                best = endpoint;
            }
        }
        return best;
    }

    /** A request with the entry process that accepted it and the owner that it was sent to. */
    private record SentRequest(Request request, int entry, int owner) {}

    private record RefusedRequest(SentRequest sent, long untilNanos) {}
}
