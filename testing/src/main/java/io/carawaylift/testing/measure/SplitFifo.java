package io.carawaylift.testing.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Baseline: every host gets an equal part of each endpoint's slots and serves its own callers in order of arrival. The
 * parts of an endpoint that do not divide evenly go to hosts in turn, so that the sum is exact.
 */
final class SplitFifo implements Policy {
    private static final int CAPACITY = 512;

    private final Size size;
    private final int[][] free;
    private final List<Deque<Request>> queues = new ArrayList<>();
    private final Map<Long, Integer> hostOf = new HashMap<>();
    private int waiting;

    SplitFifo(Size size) {
        this.size = size;
        free = new int[size.hosts()][size.endpoints()];
        int turn = 0;
        for (int endpoint = 0; endpoint < size.endpoints(); endpoint++) {
            for (int slot = 0; slot < size.slotsPerEndpoint(); slot++) {
                free[turn++ % size.hosts()][endpoint]++;
            }
        }
        for (int host = 0; host < size.hosts(); host++) {
            queues.add(new ArrayDeque<>());
        }
    }

    @Override
    public String name() {
        return "equal split, FIFO";
    }

    @Override
    public void arrived(Request request, Simulation simulation) {
        int host = (int) Math.floorMod((request.id() * 0x9E3779B97F4A7C15L) >>> 32, (long) size.hosts());
        if (queues.get(host).size() < CAPACITY) {
            queues.get(host).add(request);
            waiting++;
            start(host, simulation);
        }
    }

    @Override
    public void finished(Request request, int endpoint, Simulation simulation) {
        int host = hostOf.remove(request.id());
        free[host][endpoint]++;
        start(host, simulation);
    }

    @Override
    public int waiting() {
        return waiting;
    }

    private void start(int host, Simulation simulation) {
        Deque<Request> queue = queues.get(host);
        for (int endpoint = 0; endpoint < size.endpoints(); endpoint++) {
            while (free[host][endpoint] > 0 && !queue.isEmpty()) {
                Request request = queue.remove();
                waiting--;
                if (request.deadlineNanos() <= simulation.nowNanos()) {
                    continue;
                }
                free[host][endpoint]--;
                hostOf.put(request.id(), host);
                simulation.send(endpoint);
                simulation.execute(request, endpoint);
            }
        }
    }
}
