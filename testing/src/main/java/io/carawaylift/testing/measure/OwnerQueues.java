package io.carawaylift.testing.measure;

import io.carawaylift.decisions.admission.AdmissionQueue;
import io.carawaylift.decisions.admission.Offer;
import io.carawaylift.decisions.admission.Work;
import io.carawaylift.decisions.steering.OwnerSelector;
import io.carawaylift.decisions.steering.OwnerSelector.Candidate;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Rank;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The policy of carawaylift: each endpoint has one owner, which queues by rank and customer. The window of the entry
 * process in front of the owners is left out.
 */
final class OwnerQueues implements Policy {
    private static final int CAPACITY = 512;

    private final OwnerSelector selector = new OwnerSelector();
    private final List<AdmissionQueue<Request>> queues = new ArrayList<>();
    private final List<List<Integer>> endpoints = new ArrayList<>();
    private final Map<Long, Work<Request>> running = new HashMap<>();
    private final Size size;

    OwnerQueues(Size size) {
        this.size = size;
        for (int host = 0; host < Math.min(size.hosts(), size.endpoints()); host++) {
            List<Integer> owned = new ArrayList<>();
            for (int endpoint = host; endpoint < size.endpoints(); endpoint += size.hosts()) {
                owned.add(endpoint);
            }
            endpoints.add(owned);
            queues.add(AdmissionQueue.<Request>builder()
                    .capacity(CAPACITY)
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
        int owner = owner(request);
        AdmissionQueue<Request> queue = queues.get(owner);
        Work<Request> work =
                new Work<>(request.id(), request.rank(), request.customer(), request.deadlineNanos(), request);
        Offer<Request> offer = queue.offer(work, simulation.nowNanos());
        if (offer.refusal().isEmpty()) {
            start(owner, simulation);
        }
    }

    @Override
    public void finished(Request request, int endpoint, Simulation simulation) {
        int owner = endpoint % size.hosts();
        queues.get(owner).finished(running.remove(request.id()), simulation.nowNanos());
        start(owner, simulation);
    }

    @Override
    public int waiting() {
        int sum = 0;
        for (AdmissionQueue<Request> queue : queues) {
            for (Rank rank : Rank.values()) {
                sum += queue.waiting(rank);
            }
        }
        return sum;
    }

    private void start(int owner, Simulation simulation) {
        AdmissionQueue<Request> queue = queues.get(owner);
        Optional<Work<Request>> next = queue.next(simulation.nowNanos());
        while (next.isPresent()) {
            int endpoint = leastBusy(owner, simulation);
            running.put(next.get().id(), next.get());
            simulation.send(endpoint);
            simulation.execute(next.get().payload(), endpoint);
            next = queue.next(simulation.nowNanos());
        }
        queue.expired(simulation.nowNanos());
    }

    /** Chooses the owner with the least outstanding work of all entry processes, as if each knew all of it. */
    private int owner(Request request) {
        List<Candidate> candidates = new ArrayList<>();
        for (int owner = 0; owner < queues.size(); owner++) {
            AdmissionQueue<Request> queue = queues.get(owner);
            int outstanding = queue.inFlight();
            for (Rank rank : Rank.values()) {
                outstanding += queue.waiting(rank);
            }
            EntryProcess process = new EntryProcess(Integer.toString(owner), 1);
            candidates.add(new Candidate(process, endpoints.get(owner).size() * size.slotsPerEndpoint(), outstanding));
        }
        EntryProcess chosen = selector.choose(candidates, request.id()).orElseThrow();
        return Integer.parseInt(chosen.host());
    }

    private int leastBusy(int owner, Simulation simulation) {
        int best = endpoints.get(owner).get(0);
        for (int endpoint : endpoints.get(owner)) {
            if (simulation.inFlight(endpoint) < simulation.inFlight(best)) {
                best = endpoint;
            }
        }
        return best;
    }
}
