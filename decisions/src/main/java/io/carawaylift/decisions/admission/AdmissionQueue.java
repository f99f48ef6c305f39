package io.carawaylift.decisions.admission;

import io.carawaylift.decisions.Invariant;
import io.carawaylift.model.Rank;
import io.carawaylift.model.ResultCode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Priority queue with fair queueing between customers, in front of a limited number of slots. Higher ranks are served first,
 * except that a rank with waiting work that has used less than its floor is served before them. Within a rank, the customer
 * that has used the least slot time is served first. Every operation takes time logarithmic in the number of waiting entries.
 * Times are monotonic nanoseconds; a time before the latest one seen is treated as the latest one. Not thread-safe: the
 * caller holds its shard's lock.
 *
 * <p>Each offered work item leaves the queue exactly once: as refused or displaced work in an {@link OfferResult}, from
 * {@link #next}, from {@link #expired} or by {@link #cancel}.
 */
public final class AdmissionQueue<T> {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Upper bound of the retry delay when higher ranks use all slots; load changes within a minute. */
    private static final double MAX_RETRY_AFTER_MILLIS = 60_000;

    private static final List<Rank> LOWEST_RANK_FIRST =
            Stream.of(Rank.values()).sorted(Comparator.reverseOrder()).toList();

    private final int capacity;
    private final Map<Rank, RankState<T>> ranks = new EnumMap<>(Rank.class);
    private final Map<Long, WaitingWork<T>> waiting = new HashMap<>();
    private final Map<Long, RunningWork<T>> running = new HashMap<>();
    private final TreeSet<WaitingWork<T>> byDeadline = new TreeSet<>(WaitingWork.BY_DEADLINE);
    private final List<Work<T>> expired = new ArrayList<>();
    private int limit;
    private long arrivals;
    private long departures;
    private long latestNanos = Long.MIN_VALUE;

    private AdmissionQueue(Builder<T> builder) {
        capacity = builder.capacity;
        for (Rank rank : Rank.values()) {
            ranks.put(rank, new RankState<>());
        }
        limit(builder.limit);
        floors(builder.floors);
    }

    /** Returns a builder of an empty queue. */
    public static <T> Builder<T> builder() {
        return new Builder<>();
    }

    /**
     * Sets how many slots may be used. After a reduction, running work finishes and no work starts until fewer than {@code slots}
     * slots are in use.
     *
     * @throws IllegalArgumentException if {@code slots} is negative
     */
    public void limit(int slots) {
        if (slots < 0) {
            throw new IllegalArgumentException("slots must be at least 0: " + slots);
        }
        limit = slots;
    }

    /**
     * Sets the minimum share of slot time of each rank, as a fraction from 0 to 1; ranks that are not in the map have none.
     *
     * @throws IllegalArgumentException if a floor is out of range or their sum exceeds 1
     */
    public void floors(Map<Rank, Double> floors) {
        double sum = 0;
        for (Map.Entry<Rank, Double> floor : floors.entrySet()) {
            if (!(floor.getValue() >= 0 && floor.getValue() <= 1)) {
                throw new IllegalArgumentException("floor must be from 0 to 1: " + floor);
            }
            sum += floor.getValue();
        }
        if (sum > 1 + 1e-9) {
            throw new IllegalArgumentException("sum of floors must be at most 1: " + floors);
        }
        ranks.forEach((rank, state) -> state.floor = floors.getOrDefault(rank, 0.0));
    }

    /**
     * Queues or refuses the work. Call {@link #next} afterwards, because a slot may be free.
     *
     * @throws IllegalArgumentException if work with the same id waits or is in flight
     */
    public OfferResult<T> offer(Work<T> work, long nowNanos) {
        long now = advance(nowNanos);
        if (waiting.containsKey(work.id()) || running.containsKey(work.id())) {
            throw new IllegalArgumentException("work id is in use: " + work.id());
        }
        collectExpired(now);
        double wait = WaitEstimate.of(ranks, work.rank(), work.customer(), limit, running.size());
        if (wouldMissDeadline(work, wait, now)) {
            return refusal(ResultCode.DEADLINE_TOO_SHORT, wait - (double) (work.deadlineNanos() - now));
        }
        WaitingWork<T> victim = null;
        if (waiting.size() >= capacity) {
            victim = displacedBy(work);
            if (victim == null) {
                return refusal(ResultCode.QUEUE_FULL, wait / Math.max(1, waiting(work.rank())));
            }
            removeWaiting(victim);
        }
        enqueue(work, now);
        return new OfferResult<>(Optional.empty(), Optional.ofNullable(victim).map(WaitingWork::work));
    }

    /** Removes the next work and counts it as in flight; returns empty if no slot is free or no work is waiting. */
    public Optional<Work<T>> next(long nowNanos) {
        long now = advance(nowNanos);
        collectExpired(now);
        if (running.size() >= limit) {
            return Optional.empty();
        }
        Rank first = highestWaiting();
        while (first != null) {
            Rank rank = furthestBehindFloor(first);
            WaitingWork<T> entry = ranks.get(rank).queue.first();
            if (!shouldSkip(entry, now)) {
                return Optional.of(start(entry, rank != first, now));
            }
            removeWaiting(entry);
            expired.add(entry.work());
            first = highestWaiting();
        }
        return Optional.empty();
    }

    /**
     * Returns whether to skip work that would probably miss its deadline while other work of its rank is waiting, which may
     * still meet its own. Work is skipped only after it has waited for more than half of its allowed time, so that requests
     * whose deadline is shorter than the usual service time are still attempted.
     */
    private boolean shouldSkip(WaitingWork<T> entry, long now) {
        RankQueue<T> queue = ranks.get(entry.work().rank()).queue;
        double remainingNanos = (double) (entry.work().deadlineNanos() - now);
        double waitedNanos = (double) (now - entry.arrivalNanos());
        return queue.waiting() > 1 && waitedNanos > remainingNanos && remainingNanos < queue.serviceTime.likelyMax();
    }

    /**
     * Removes and returns waiting work whose deadline has passed and work that {@link #next} skipped because it would probably
     * miss its deadline. The caller refuses it as not run. Call this after {@link #next}.
     */
    public List<Work<T>> expired(long nowNanos) {
        collectExpired(advance(nowNanos));
        List<Work<T>> result = List.copyOf(expired);
        expired.clear();
        return result;
    }

    /** Frees the slot of work that {@link #next} returned and adds its duration to the service time statistics. */
    public void finished(Work<T> work, long nowNanos) {
        long now = advance(nowNanos);
        RunningWork<T> done = running.remove(work.id());
        Invariant.check(done != null, "finished work must be in flight", work.id());
        RankState<T> state = ranks.get(done.work().rank());
        if (done.byFloor()) {
            state.startedByFloor--;
        } else {
            state.startedInTurn--;
        }
        state.queue.finish(done.queue(), done.chargedNanos(), (double) (now - done.startNanos()));
    }

    /** Removes waiting work; returns false if it is no longer waiting. */
    public boolean cancel(Work<T> work) {
        WaitingWork<T> entry = waiting.get(work.id());
        if (entry == null) {
            return false;
        }
        removeWaiting(entry);
        return true;
    }

    /** Returns the number of work items in flight. */
    public int inFlight() {
        return running.size();
    }

    /** Returns the number of work items of a rank in flight. */
    public int inFlight(Rank rank) {
        return ranks.get(rank).inFlight();
    }

    /** Returns the number of waiting work items of a rank. */
    public int waiting(Rank rank) {
        return ranks.get(rank).waiting();
    }

    /** Returns the estimated queue wait of new work of a customer, in nanoseconds. */
    public long estimatedWaitNanos(Rank rank, String customer) {
        return (long) WaitEstimate.of(ranks, rank, customer, limit, running.size());
    }

    private long advance(long nowNanos) {
        if (latestNanos == Long.MIN_VALUE) {
            latestNanos = nowNanos;
        }
        long passed = nowNanos - latestNanos;
        if (passed > 0) {
            latestNanos = nowNanos;
            for (RankState<T> state : ranks.values()) {
                state.advance((double) passed, limit);
            }
        }
        return latestNanos;
    }

    private void collectExpired(long now) {
        while (!byDeadline.isEmpty() && byDeadline.first().work().deadlineNanos() - now <= 0) {
            WaitingWork<T> entry = byDeadline.first();
            removeWaiting(entry);
            expired.add(entry.work());
        }
    }

    /**
     * Returns whether the deadline has passed or would be missed by the estimate. A rank without waiting work is exempt from
     * the estimate, so that a wrong estimate is corrected by the next run.
     */
    private boolean wouldMissDeadline(Work<T> work, double wait, long now) {
        long remainingNanos = work.deadlineNanos() - now;
        if (remainingNanos <= 0) {
            return true;
        }
        RankQueue<T> queue = ranks.get(work.rank()).queue;
        return queue.waiting() > 0 && wait + queue.serviceTime.likelyMax() > (double) remainingNanos;
    }

    private OfferResult<T> refusal(ResultCode code, double untilAdmittedNanos) {
        double millis = untilAdmittedNanos / NANOS_PER_MILLI;
        long retryAfterMs = (long) Math.max(1, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
        return new OfferResult<>(Optional.of(new Refusal(code, retryAfterMs)), Optional.empty());
    }

    /**
     * Returns the waiting work to displace in favour of {@code work}, or null if there is none. A rank that uses less than its
     * reserved capacity displaces work of any rank that uses more than its own. Otherwise work of lower ranks is displaced, or
     * work of a customer of the same rank with a longer backlog.
     */
    private WaitingWork<T> displacedBy(Work<T> work) {
        RankState<T> own = ranks.get(work.rank());
        boolean belowReserved = own.waiting() < reservedCapacity(own);
        for (Rank rank : LOWEST_RANK_FIRST) {
            RankState<T> state = ranks.get(rank);
            boolean lower = rank.compareTo(work.rank()) > 0;
            if (rank != work.rank() && (lower || belowReserved) && state.waiting() > reservedCapacity(state)) {
                return state.queue.newestOfLongestBacklog();
            }
        }
        boolean otherHasLongerBacklog = own.queue.longestBacklog() > own.queue.waitingOf(work.customer()) + 1;
        return otherHasLongerBacklog ? own.queue.newestOfLongestBacklog() : null;
    }

    /** Returns the number of waiting entries of a rank that other ranks cannot displace. */
    private int reservedCapacity(RankState<T> state) {
        return (int) (state.floor * capacity);
    }

    private void enqueue(Work<T> work, long now) {
        WaitingWork<T> entry = ranks.get(work.rank()).queue.add(arrivals++, work, now);
        waiting.put(work.id(), entry);
        byDeadline.add(entry);
        Invariant.check(waiting.size() <= capacity, "waiting work must fit the capacity", waiting.size());
    }

    private void removeWaiting(WaitingWork<T> entry) {
        ranks.get(entry.work().rank()).queue.remove(entry);
        removeFromIndexes(entry);
    }

    private void removeFromIndexes(WaitingWork<T> entry) {
        waiting.remove(entry.work().id());
        byDeadline.remove(entry);
        departures++;
        Invariant.check(
                arrivals - departures == waiting.size() && waiting.size() == byDeadline.size(),
                "every piece of work must leave the queue exactly once",
                entry.work().id());
    }

    private Rank highestWaiting() {
        for (Map.Entry<Rank, RankState<T>> state : ranks.entrySet()) {
            if (state.getValue().waiting() > 0) {
                return state.getKey();
            }
        }
        return null;
    }

    private Rank furthestBehindFloor(Rank first) {
        Rank chosen = first;
        double maxBehind = 0;
        for (Map.Entry<Rank, RankState<T>> entry : ranks.entrySet()) {
            RankState<T> state = entry.getValue();
            double behind = state.credit.behindNanos(state.floor * limit);
            if (entry.getKey().compareTo(first) > 0 && state.mayGoFirst(limit) && behind > maxBehind) {
                chosen = entry.getKey();
                maxBehind = behind;
            }
        }
        return chosen;
    }

    private Work<T> start(WaitingWork<T> entry, boolean byFloor, long now) {
        RankState<T> state = ranks.get(entry.work().rank());
        double charged = state.queue.start(entry);
        removeFromIndexes(entry);
        running.put(entry.work().id(), new RunningWork<>(entry.work(), entry.queue(), now, charged, byFloor));
        if (byFloor) {
            state.startedByFloor++;
        } else {
            state.startedInTurn++;
        }
        Invariant.check(running.size() <= limit, "work in flight must not exceed the limit", running.size());
        return entry.work();
    }

    /** Builds an {@link AdmissionQueue}. */
    public static final class Builder<T> {
        private static final int DEFAULT_CAPACITY = 512;

        private int capacity = DEFAULT_CAPACITY;
        private int limit;
        private Map<Rank, Double> floors = Map.of();

        private Builder() {}

        /** Sets the maximum number of waiting work items; 512 by default. */
        public Builder<T> capacity(int waiting) {
            if (waiting < 1) {
                throw new IllegalArgumentException("capacity must be at least 1: " + waiting);
            }
            this.capacity = waiting;
            return this;
        }

        /** Sets the number of slots, see {@link AdmissionQueue#limit}; 0 by default. */
        public Builder<T> limit(int slots) {
            this.limit = slots;
            return this;
        }

        /** Sets the floors, see {@link AdmissionQueue#floors}; none by default. */
        public Builder<T> floors(Map<Rank, Double> floors) {
            this.floors = Map.copyOf(Objects.requireNonNull(floors, "floors"));
            return this;
        }

        /** Returns the queue. */
        public AdmissionQueue<T> build() {
            return new AdmissionQueue<>(this);
        }
    }
}
