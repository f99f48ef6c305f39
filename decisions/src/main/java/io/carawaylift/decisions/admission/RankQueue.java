package io.carawaylift.decisions.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Fair queue over the customers of one rank. The customer that has used the least slot time is served first. A customer that
 * was idle continues at the virtual time, which is the highest slot time of a customer when it was served, so that idle
 * customers do not accumulate credit.
 */
final class RankQueue<T> {
    /** Bounds the memory for idle customers that used more than their share, so that they are ahead of the virtual time. */
    private static final int MAX_IDLE_CUSTOMERS = 1_024;

    /** Charged before any service time is known; 1 ms. */
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

    /** Returns the number of customers with waiting work. */
    int customersWaiting() {
        return bySlotTime.size();
    }

    /** Returns the number of waiting entries of a customer. */
    int waitingOf(String customer) {
        CustomerQueue<T> queue = customers.get(customer);
        return queue == null ? 0 : queue.waiting.size();
    }

    /** Returns by how much slot time a customer is ahead of the virtual time, in nanoseconds. */
    double aheadNanos(String customer) {
        CustomerQueue<T> queue = customers.get(customer);
        return queue == null ? 0 : Math.max(0, queue.usedNanos - virtualTimeNanos);
    }

    /** Returns the number of waiting entries of the customer with the most of them. */
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

    /** Returns the next work of the rank, or null if none is waiting. */
    WaitingWork<T> first() {
        return bySlotTime.isEmpty()
                ? null
                : bySlotTime.first().waiting.firstEntry().getValue();
    }

    /** Returns the newest work of the customer with the longest backlog, or null if none is waiting. */
    WaitingWork<T> newestOfLongestBacklog() {
        return byBacklog.isEmpty()
                ? null
                : byBacklog.first().waiting.lastEntry().getValue();
    }

    /** Removes work from the queue, charges the expected slot time to its customer and returns the charge in nanoseconds. */
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
