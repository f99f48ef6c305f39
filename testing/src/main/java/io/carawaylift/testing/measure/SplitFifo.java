package io.carawaylift.testing.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Baseline: divides the slots of each endpoint evenly among the hosts, which serve their own callers in FIFO order. Slots that
 * do not divide evenly are assigned round-robin, so that all slots are used.
 */
final class SplitFifo implements Policy {
    private static final int QUEUE_CAPACITY = 512;

    private final ServiceSize size;
    private final int[][] freeSlots;
    private final List<Deque<Request>> queues = new ArrayList<>();
    private final Map<Long, Integer> hostOf = new HashMap<>();
    private int waiting;

    SplitFifo(ServiceSize size) {
        this.size = size;
        freeSlots = new int[size.hosts()][size.endpoints()];
        int slotNumber = 0;
        for (int endpoint = 0; endpoint < size.endpoints(); endpoint++) {
            for (int slot = 0; slot < size.slotsPerEndpoint(); slot++) {
                freeSlots[slotNumber++ % size.hosts()][endpoint]++;
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
        if (queues.get(host).size() < QUEUE_CAPACITY) {
            queues.get(host).add(request);
            waiting++;
            startWaiting(host, simulation);
        }
    }

    @Override
    public void finished(Request request, int endpoint, Simulation simulation) {
        int host = hostOf.remove(request.id());
        freeSlots[host][endpoint]++;
        startWaiting(host, simulation);
    }

    @Override
    public int waiting() {
        return waiting;
    }

    private void startWaiting(int host, Simulation simulation) {
        Deque<Request> queue = queues.get(host);
        for (int endpoint = 0; endpoint < size.endpoints(); endpoint++) {
            while (freeSlots[host][endpoint] > 0 && !queue.isEmpty()) {
                Request request = queue.remove();
                waiting--;
                if (request.deadlineNanos() <= simulation.nowNanos()) {
                    continue;
                }
                freeSlots[host][endpoint]--;
                hostOf.put(request.id(), host);
                simulation.send(endpoint);
                simulation.execute(request, endpoint);
            }
        }
    }
}
