package io.carawaylift.decisions.dispatch;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The queue of one service: requests of the highest rank first, then in a fair order among customers, which is the order
 * of arrival if there are no customers. An attempt to send costs the same however long the queue is. Not thread-safe.
 *
 * @param <R> type of the requests
 */
public final class WaitingRequests<R> {
    /**
     * Attempts after which no more requests are tried: a freed slot serves one of the first, and requests behind many
     * that could not be sent have no better chance.
     */
    private static final int MAX_FAILED_ATTEMPTS = 8;

    private final TreeMap<Integer, FairOrder<Entry<R>>> ranks = new TreeMap<>();
    private final Function<R, DispatchRequest> properties;
    private final IdentityHashMap<R, Entry<R>> byRequest = new IdentityHashMap<>();
    private long sequence;
    private boolean sending;
    private boolean sendAgain;

    private record Entry<R>(int priority, String customer, double cost, long arrivedNanos, long sequence, R request)
            implements FairOrder.Entry {}

    /** Creates an empty queue; {@code properties} returns what a request is ordered by. */
    public WaitingRequests(Function<R, DispatchRequest> properties) {
        this.properties = properties;
    }

    /** Adds a request; does nothing if it is waiting already. */
    public void add(R request) {
        DispatchRequest order = properties.apply(request);
        Entry<R> entry = new Entry<>(
                order.priority(), order.customer(), order.cost(), order.arrivedNanos(), sequence++, request);
        if (byRequest.putIfAbsent(request, entry) == null) {
            rank(entry.priority()).add(entry);
        }
    }

    /** Removes a request that is not sent; does nothing if it is not waiting. */
    public void remove(R request) {
        Entry<R> entry = byRequest.remove(request);
        if (entry != null) {
            rank(entry.priority()).remove(entry);
        }
    }

    /** Records that a request is sent, whether it waited or not, so that it counts as service of its customer. */
    public void recordSent(R request) {
        DispatchRequest order = properties.apply(request);
        rank(order.priority()).served(order.customer(), order.cost());
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return byRequest.size();
    }

    /**
     * Returns the request to refuse first if not all can be served in time: of the lowest rank, the last one of the
     * customer that was served most and waits with most. The newest arrival may belong to a customer that got little.
     */
    public Optional<R> firstToRefuse() {
        return ranks.descendingMap().values().stream()
                .filter(rank -> !rank.isEmpty())
                .findFirst()
                .flatMap(FairOrder::firstToRefuse)
                .map(Entry::request);
    }

    private FairOrder<Entry<R>> rank(int priority) {
        return ranks.computeIfAbsent(priority, key -> new FairOrder<>());
    }

    /**
     * Tries to send the first requests and removes those for which {@code trySend} returns true. A call from within
     * {@code trySend} has its effect after it returned.
     */
    public void sendFirst(Predicate<R> trySend) {
        if (sending) {
            sendAgain = true;
            return;
        }
        sending = true;
        try {
            do {
                sendAgain = false;
                tryFirst(trySend);
            } while (sendAgain);
        } finally {
            sending = false;
        }
    }

    private void tryFirst(Predicate<R> trySend) {
        Set<Entry<R>> failed = Collections.newSetFromMap(new IdentityHashMap<>());
        while (failed.size() < MAX_FAILED_ATTEMPTS) {
            Optional<Entry<R>> next = first(failed);
            if (next.isEmpty()) {
                return;
            }
            R request = next.get().request();
            if (trySend.test(request)) {
                remove(request);
            } else {
                failed.add(next.get());
            }
        }
    }

    private Optional<Entry<R>> first(Set<Entry<R>> except) {
        for (FairOrder<Entry<R>> rank : ranks.values()) {
            Optional<Entry<R>> first = rank.first(except);
            if (first.isPresent()) {
                return first;
            }
        }
        return Optional.empty();
    }
}
