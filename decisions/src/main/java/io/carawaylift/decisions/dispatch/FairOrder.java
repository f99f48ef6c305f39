package io.carawaylift.decisions.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;

/**
 * Waiting requests of one rank in the order of start-time fair queueing with equal weights: a customer's next request
 * starts at the virtual time at which its last served one ended, but not long before the present virtual time, which is
 * the latest start of a served request. Requests of one customer keep the order of their arrival. A customer's virtual time
 * advances only by what is served, so refused requests cost it nothing. Not thread-safe.
 *
 * @param <E> type of the entries
 */
final class FairOrder<E extends FairOrder.Entry> {
    /**
     * Requests of a customer that was idle which start before the present virtual time. Without them a customer's random
     * bursts waited for its share while others that send more than theirs were served: 6 % were refused.
     */
    private static final double BURST_REQUESTS = 3;

    /** Idle customers that are remembered before those without an effect are dropped. */
    private static final int MAX_IDLE = 256;

    private final Map<String, Flow<E>> flows = new HashMap<>();
    private final TreeSet<Flow<E>> waiting = new TreeSet<>(Comparator.comparingDouble((Flow<E> flow) -> flow.start)
            .thenComparingLong(flow -> flow.order)
            .thenComparing(flow -> flow.customer));
    private double virtualTime;
    private int size;

    /** What the order depends on. */
    interface Entry {
        String customer();

        /** Returns the expected processing time, in any unit that is the same for all entries. */
        double cost();

        long arrivedNanos();

        /** Returns a number that differs between entries and orders those with the same arrival. */
        long sequence();
    }

    private static final class Flow<E extends Entry> {
        private final String customer;
        private final TreeSet<E> entries =
                new TreeSet<>(Comparator.comparingLong(Entry::arrivedNanos).thenComparingLong(Entry::sequence));
        private double start;
        private double waitingCost;

        /** Sequence of the first entry when the flow was last ordered; constant while the flow is in the set. */
        private long order;

        Flow(String customer) {
            this.customer = customer;
        }
    }

    private record Candidate<E extends Entry>(double start, Flow<E> flow, E entry, Iterator<E> further) {}

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    void add(E entry) {
        Flow<E> flow = flow(entry.customer());
        if (flow.entries.isEmpty()) {
            flow.start = startOf(flow, entry.cost());
        }
        waiting.remove(flow);
        flow.entries.add(entry);
        flow.waitingCost += entry.cost();
        size++;
        enqueue(flow);
    }

    /** Removes an entry that was not served; does nothing if it is not waiting. */
    void remove(E entry) {
        Flow<E> flow = flows.get(entry.customer());
        if (flow == null || !flow.entries.contains(entry)) {
            return;
        }
        waiting.remove(flow);
        flow.entries.remove(entry);
        flow.waitingCost = flow.entries.isEmpty() ? 0 : flow.waitingCost - entry.cost();
        size--;
        enqueue(flow);
    }

    /** Records that a request is served, whether it waited or not. */
    void served(String customer, double cost) {
        Flow<E> flow = flow(customer);
        waiting.remove(flow);
        flow.start = startOf(flow, cost);
        virtualTime = Math.max(virtualTime, flow.start);
        flow.start += cost;
        enqueue(flow);
        if (flows.size() > waiting.size() + MAX_IDLE) {
            flows.values()
                    .removeIf(each -> each.entries.isEmpty() && each.start <= virtualTime - BURST_REQUESTS * cost);
        }
    }

    /** Returns the first entry that is not among the given ones. */
    Optional<E> first(Set<E> except) {
        PriorityQueue<Candidate<E>> candidates =
                new PriorityQueue<>(Comparator.comparingDouble((Candidate<E> candidate) -> candidate.start())
                        .thenComparingLong(candidate -> candidate.entry().sequence()));
        Iterator<Flow<E>> others = waiting.iterator();
        Flow<E> nextFlow = others.hasNext() ? others.next() : null;
        while (nextFlow != null || !candidates.isEmpty()) {
            Candidate<E> best;
            if (nextFlow != null
                    && (candidates.isEmpty()
                            || nextFlow.start <= candidates.peek().start())) {
                Iterator<E> entries = nextFlow.entries.iterator();
                best = new Candidate<>(nextFlow.start, nextFlow, entries.next(), entries);
                nextFlow = others.hasNext() ? others.next() : null;
            } else {
                best = candidates.poll();
            }
            if (!except.contains(best.entry())) {
                return Optional.of(best.entry());
            }
            if (best.further().hasNext()) {
                double start = best.start() + best.entry().cost();
                candidates.add(
                        new Candidate<>(start, best.flow(), best.further().next(), best.further()));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the entry to refuse first if not all can be served in time: the last one of the customer whose last request
     * would start latest, which is the one that was served most and waits with most.
     */
    Optional<E> firstToRefuse() {
        return waiting.stream()
                .max(Comparator.comparingDouble((Flow<E> flow) -> flow.start
                                + flow.waitingCost
                                - flow.entries.last().cost())
                        .thenComparingLong(flow -> flow.entries.last().sequence()))
                .map(flow -> flow.entries.last());
    }

    private double startOf(Flow<E> flow, double cost) {
        return Math.max(flow.start, virtualTime - BURST_REQUESTS * cost);
    }

    private Flow<E> flow(String customer) {
        return flows.computeIfAbsent(customer, Flow::new);
    }

    private void enqueue(Flow<E> flow) {
        if (!flow.entries.isEmpty()) {
            flow.order = flow.entries.first().sequence();
            waiting.add(flow);
        }
    }
}
