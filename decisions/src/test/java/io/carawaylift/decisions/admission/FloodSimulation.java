package io.carawaylift.decisions.admission;

import io.carawaylift.model.Rank;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/** Simulates a queue in virtual time under Poisson arrivals with service times that differ by a factor of 100. */
final class FloodSimulation {
    static final long SECOND = 1_000_000_000L;
    private static final double MIN_SERVICE_NANOS = 10e6;
    private static final double MEAN_SERVICE_NANOS = MIN_SERVICE_NANOS * 99 / Math.log(100);
    private static final Map<Rank, Long> DEADLINE_NANOS =
            Map.of(Rank.URGENT, 5 * SECOND, Rank.STANDARD, 10 * SECOND, Rank.DEFERRABLE, 30 * SECOND);

    private final Map<Rank, Double> usedNanos = new EnumMap<>(Rank.class);
    private final Map<Rank, Integer> offered = new EnumMap<>(Rank.class);
    private final Map<Rank, Integer> inTime = new EnumMap<>(Rank.class);
    private final Map<String, Double> usedByCustomer = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atNanos)
            .thenComparingLong(e -> e.work().id()));
    private final QueueUnderTest queue;
    private final Random random;
    private final int slots;
    private final long endNanos;
    private double usefulNanos;
    private long nextId;

    FloodSimulation(QueueUnderTest queue, int slots, long seconds, long seed) {
        this.queue = queue;
        this.slots = slots;
        this.endNanos = seconds * SECOND;
        this.random = new Random(seed);
    }

    /** Adds the requests of one customer; {@code load} is relative to the capacity. */
    FloodSimulation load(Rank rank, String customer, double load) {
        double perNano = load * slots / MEAN_SERVICE_NANOS;
        double at = 0;
        while (true) {
            at += -Math.log1p(-random.nextDouble()) / perNano;
            if (at >= endNanos) {
                return this;
            }
            long service = (long) (MIN_SERVICE_NANOS * Math.pow(100, random.nextDouble()));
            long arrival = (long) at;
            events.add(new Event(
                    arrival, false, new Work<>(nextId++, rank, customer, arrival + DEADLINE_NANOS.get(rank), service)));
        }
    }

    FloodSimulation run() {
        while (!events.isEmpty()) {
            Event event = events.remove();
            long now = event.atNanos();
            Work<Long> work = event.work();
            if (event.finish()) {
                queue.finished(work, now);
                count(work, now);
            } else {
                offered.merge(work.rank(), 1, Integer::sum);
                queue.offer(work, now);
            }
            for (Optional<Work<Long>> next = queue.next(now); next.isPresent(); next = queue.next(now)) {
                events.add(new Event(now + next.get().payload(), true, next.get()));
            }
        }
        return this;
    }

    /** Returns the slot time that a rank used, relative to the capacity. */
    double slotTimeFraction(Rank rank) {
        return usedNanos.getOrDefault(rank, 0.0) / capacity();
    }

    /** Returns the slot time that a customer used, relative to the capacity. */
    double slotTimeFraction(String customer) {
        return usedByCustomer.getOrDefault(customer, 0.0) / capacity();
    }

    /** Returns the fraction of a rank's offered work that finished by its deadline. */
    double inTimeFraction(Rank rank) {
        return (double) inTime.getOrDefault(rank, 0) / offered.get(rank);
    }

    /** Returns the slot time of work that finished by its deadline, relative to the capacity. */
    double usefulFraction() {
        return usefulNanos / capacity();
    }

    private void count(Work<Long> work, long now) {
        double used = Math.max(0, Math.min(now, endNanos) - Math.min(now - work.payload(), endNanos));
        usedNanos.merge(work.rank(), used, Double::sum);
        usedByCustomer.merge(work.customer(), used, Double::sum);
        if (now <= work.deadlineNanos()) {
            inTime.merge(work.rank(), 1, Integer::sum);
            usefulNanos += used;
        }
    }

    private double capacity() {
        return (double) slots * endNanos;
    }

    private record Event(long atNanos, boolean finish, Work<Long> work) {}
}
