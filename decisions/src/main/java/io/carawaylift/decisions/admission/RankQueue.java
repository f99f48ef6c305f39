package io.carawaylift.decisions.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The customers of one rank. Customers take turns by least slot time used. A customer that comes back starts at the slot
 * time of the customer served last, so that idle time gives no claim to later service.
 */
final class RankQueue<T> {
    /** Bounds the memory for customers that used more than their share and are idle. */
    private static final int MAX_IDLE_CUSTOMERS = 1_024;

    /** Charged for the first requests, before any service time is known; 1 ms. */
    private static final double UNKNOWN_SERVICE_NANOS = 1_000_000;

    final ServiceTimeStatistics serviceTime = new ServiceTimeStatistics();
    private final Map<String, CustomerQueue<T>> customers = new HashMap<>();
    private final TreeSet<CustomerQueue<T>> bySlotTime = new TreeSet<>(CustomerQueue.BY_SLOT_TIME);
    private final TreeSet<CustomerQueue<T>> byBacklog = new TreeSet<>(CustomerQueue.LONGEST_BACKLOG_FIRST);
    private final TreeSet<CustomerQueue<T>> idle = new TreeSet<>(CustomerQueue.BY_SLOT_TIME);
    private double virtualTimeNanos;
    private long turns;
    private int waiting;

    int waiting() {
        return waiting;
    }

    /** Returns the customers with waiting work. */
    int customersWaiting() {
        return bySlotTime.size();
    }

    /** Returns how much work of a customer waits. */
    int waitingOf(String customer) {
        CustomerQueue<T> queue = customers.get(customer);
        return queue == null ? 0 : queue.waiting.size();
    }

    /** Returns by how much slot time a customer is ahead of the one served last, in nanoseconds. */
    double aheadNanos(String customer) {
        CustomerQueue<T> queue = customers.get(customer);
        return queue == null ? 0 : Math.max(0, queue.usedNanos - virtualTimeNanos);
    }

    /** Returns how much work waits of the customer that has most waiting. */
    int longestBacklog() {
        return byBacklog.isEmpty() ? 0 : byBacklog.first().waiting.size();
    }

    WaitingWork<T> add(long number, Work<T> work, long nowNanos) {
        CustomerQueue<T> queue = customers.computeIfAbsent(work.customer(), CustomerQueue::new);
        idle.remove(queue);
        removeFromIndexes(queue);
        if (queue.idle()) {
            queue.usedNanos = Math.max(queue.usedNanos, virtualTimeNanos);
        }
        WaitingWork<T> entry = new WaitingWork<>(number, work, queue, nowNanos);
        queue.waiting.put(number, entry);
        waiting++;
        addToIndexes(queue);
        return entry;
    }

    void remove(WaitingWork<T> entry) {
        CustomerQueue<T> queue = entry.queue();
        removeFromIndexes(queue);
        if (queue.waiting.remove(entry.number()) != null) {
            waiting--;
        }
        addToIndexes(queue);
    }

    /** Returns the work that is next within the rank, or null if none waits. */
    WaitingWork<T> first() {
        return bySlotTime.isEmpty()
                ? null
                : bySlotTime.first().waiting.firstEntry().getValue();
    }

    /** Returns the newest work of the customer that has most waiting, or null if none waits. */
    WaitingWork<T> newestOfLongestBacklog() {
        return byBacklog.isEmpty()
                ? null
                : byBacklog.first().waiting.lastEntry().getValue();
    }

    /** Takes work out of the queue and charges its customer the expected slot time, which is returned. */
    double start(WaitingWork<T> entry) {
        CustomerQueue<T> queue = entry.queue();
        virtualTimeNanos = Math.max(virtualTimeNanos, queue.usedNanos);
        double charge = queue.serviceTime.meanOr(serviceTime.meanOr(UNKNOWN_SERVICE_NANOS));
        removeFromIndexes(queue);
        queue.waiting.remove(entry.number());
        waiting--;
        queue.usedNanos += charge;
        queue.lastTurn = ++turns;
        queue.inFlight++;
        addToIndexes(queue);
        return charge;
    }

    void finish(CustomerQueue<T> queue, double chargedNanos, double usedNanos) {
        removeFromIndexes(queue);
        queue.inFlight--;
        queue.usedNanos += usedNanos - chargedNanos;
        queue.serviceTime.add(usedNanos);
        serviceTime.add(usedNanos);
        addToIndexes(queue);
    }

    private void removeFromIndexes(CustomerQueue<T> queue) {
        bySlotTime.remove(queue);
        byBacklog.remove(queue);
    }

    private void addToIndexes(CustomerQueue<T> queue) {
        if (!queue.waiting.isEmpty()) {
            bySlotTime.add(queue);
            byBacklog.add(queue);
        } else if (queue.idle()) {
            idle.add(queue);
            evictIdle();
        }
    }

    private void evictIdle() {
        while (!idle.isEmpty() && (idle.first().usedNanos <= virtualTimeNanos || idle.size() > MAX_IDLE_CUSTOMERS)) {
            customers.remove(idle.pollFirst().customer);
        }
    }
}
