package io.carawaylift.decisions.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The customers of one rank. Customers take turns by least slot time used. A customer that comes back starts at the slot
 * time of the customer served last, so that idle time gives no claim to later service.
 */
final class RankLines<T> {
    /** Bounds the memory for customers that used more than their share and are idle. */
    private static final int MAX_IDLE_CUSTOMERS = 1_024;

    /** Charged for the first requests, before any service time is known; 1 ms. */
    private static final double UNKNOWN_SERVICE_NANOS = 1_000_000;

    final ServiceTime serviceTime = new ServiceTime();
    private final Map<String, CustomerLine<T>> lines = new HashMap<>();
    private final TreeSet<CustomerLine<T>> byUse = new TreeSet<>(CustomerLine.BY_USE);
    private final TreeSet<CustomerLine<T>> byBacklog = new TreeSet<>(CustomerLine.BY_BACKLOG);
    private final TreeSet<CustomerLine<T>> idle = new TreeSet<>(CustomerLine.BY_USE);
    private double servedUpTo;
    private long turns;
    private int waiting;

    int waiting() {
        return waiting;
    }

    /** Returns the customers with waiting work. */
    int customersWaiting() {
        return byUse.size();
    }

    /** Returns how much work of a customer waits. */
    int waitingOf(String customer) {
        CustomerLine<T> line = lines.get(customer);
        return line == null ? 0 : line.waiting.size();
    }

    /** Returns by how much slot time a customer is ahead of the one served last, in nanoseconds. */
    double aheadNanos(String customer) {
        CustomerLine<T> line = lines.get(customer);
        return line == null ? 0 : Math.max(0, line.usedNanos - servedUpTo);
    }

    /** Returns how much work waits of the customer that has most waiting. */
    int longestBacklog() {
        return byBacklog.isEmpty() ? 0 : byBacklog.first().waiting.size();
    }

    Waiting<T> add(long number, Work<T> work, long nowNanos) {
        CustomerLine<T> line = lines.computeIfAbsent(work.customer(), CustomerLine::new);
        idle.remove(line);
        detach(line);
        if (line.idle()) {
            line.usedNanos = Math.max(line.usedNanos, servedUpTo);
        }
        Waiting<T> entry = new Waiting<>(number, work, line, nowNanos);
        line.waiting.put(number, entry);
        waiting++;
        attach(line);
        return entry;
    }

    void remove(Waiting<T> entry) {
        CustomerLine<T> line = entry.line();
        detach(line);
        if (line.waiting.remove(entry.number()) != null) {
            waiting--;
        }
        attach(line);
    }

    /** Returns the work that is next within the rank, or null if none waits. */
    Waiting<T> first() {
        return byUse.isEmpty() ? null : byUse.first().waiting.firstEntry().getValue();
    }

    /** Returns the newest work of the customer that has most waiting, or null if none waits. */
    Waiting<T> newest() {
        return byBacklog.isEmpty()
                ? null
                : byBacklog.first().waiting.lastEntry().getValue();
    }

    /** Takes work out of the queue and charges its customer the expected slot time, which is returned. */
    double start(Waiting<T> entry) {
        CustomerLine<T> line = entry.line();
        servedUpTo = Math.max(servedUpTo, line.usedNanos);
        double charge = line.serviceTime.meanOr(serviceTime.meanOr(UNKNOWN_SERVICE_NANOS));
        detach(line);
        line.waiting.remove(entry.number());
        waiting--;
        line.usedNanos += charge;
        line.turn = ++turns;
        line.inFlight++;
        attach(line);
        return charge;
    }

    void finish(CustomerLine<T> line, double chargedNanos, double usedNanos) {
        detach(line);
        line.inFlight--;
        line.usedNanos += usedNanos - chargedNanos;
        line.serviceTime.add(usedNanos);
        serviceTime.add(usedNanos);
        attach(line);
    }

    private void detach(CustomerLine<T> line) {
        byUse.remove(line);
        byBacklog.remove(line);
    }

    private void attach(CustomerLine<T> line) {
        if (!line.waiting.isEmpty()) {
            byUse.add(line);
            byBacklog.add(line);
        } else if (line.idle()) {
            idle.add(line);
            forgetIdle();
        }
    }

    private void forgetIdle() {
        while (!idle.isEmpty() && (idle.first().usedNanos <= servedUpTo || idle.size() > MAX_IDLE_CUSTOMERS)) {
            lines.remove(idle.pollFirst().customer);
        }
    }
}
