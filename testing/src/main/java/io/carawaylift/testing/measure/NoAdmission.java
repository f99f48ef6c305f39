package io.carawaylift.testing.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Baseline without admission control: sends each request immediately; the upstream sheds or queues above its slots. */
final class NoAdmission implements Policy {
    private final ServiceSize size;
    private final boolean sheds;
    private final int[] executing;
    private final List<Deque<Request>> queues = new ArrayList<>();
    private int waiting;

    NoAdmission(ServiceSize size, boolean sheds) {
        this.size = size;
        this.sheds = sheds;
        executing = new int[size.endpoints()];
        for (int endpoint = 0; endpoint < size.endpoints(); endpoint++) {
            queues.add(new ArrayDeque<>());
        }
    }

    @Override
    public String name() {
        return sheds ? "none, upstream sheds" : "none, upstream queues";
    }

    @Override
    public void arrived(Request request, Simulation simulation) {
        int endpoint = (int) Math.floorMod((request.id() * 0x9E3779B97F4A7C15L) >>> 32, (long) size.endpoints());
        simulation.send(endpoint);
        if (executing[endpoint] < size.slotsPerEndpoint()) {
            executing[endpoint]++;
            simulation.execute(request, endpoint);
        } else if (sheds) {
            simulation.requestRefused(endpoint);
        } else {
            queues.get(endpoint).add(request);
            waiting++;
        }
    }

    @Override
    public void finished(Request request, int endpoint, Simulation simulation) {
        Request next = queues.get(endpoint).poll();
        if (next == null) {
            executing[endpoint]--;
            return;
        }
        waiting--;
        simulation.execute(next, endpoint);
    }

    @Override
    public int waiting() {
        return waiting;
    }
}
