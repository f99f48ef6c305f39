package io.carawaylift.entry;

import io.carawaylift.decisions.admission.AdmissionQueue;
import io.carawaylift.decisions.admission.OfferResult;
import io.carawaylift.decisions.admission.Refusal;
import io.carawaylift.decisions.admission.Work;
import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.model.Rank;
import io.carawaylift.model.ResultCode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * An admission queue for a set of slots, with its own lock. Requests are sent and results delivered after the lock is
 * released. Thread-safe.
 */
final class QueueShard {
    private final Object lock = new Object();
    private final AdmissionQueue<QueuedJob> queue;
    private final SlotSource slots;
    private final LongSupplier clock;
    private final Set<QueuedJob> waiting = new LinkedHashSet<>();
    private final PriorityQueue<OccupiedSlot> occupiedSlots =
            new PriorityQueue<>(Comparator.comparingLong(OccupiedSlot::untilNanos));
    /** A job that has ended here, whose slot counts as used until a time because the endpoint may still run it. */
    private record OccupiedSlot(QueuedJob job, long untilNanos) {}

    private long nextNumber;
    private long dispatched;
    private long refused;

    QueueShard(int capacity, Map<Rank, Double> floors, SlotSource slots, LongSupplier clock) {
        this.slots = slots;
        this.clock = clock;
        this.queue = AdmissionQueue.<QueuedJob>builder()
                .capacity(capacity)
                .limit(0)
                .floors(floors)
                .build();
    }

    /** Submits a request; the receiver gets its result, possibly before this method returns. */
    RunningAttempt submit(InboundRequest request, ResultReceiver receiver) {
        List<Runnable> actions = new ArrayList<>();
        QueuedJob job;
        synchronized (lock) {
            long now = clock.getAsLong();
            job = new QueuedJob(nextNumber++, request, receiver, this, now);
            updateLimit(now);
            OfferResult<QueuedJob> offer = queue.offer(job.work(), now);
            offer.displaced().ifPresent(work -> displace(work, actions));
            if (offer.refusal().isPresent()) {
                refuse(job, refusal(offer.refusal().get()), actions);
            } else {
                waiting.add(job);
            }
            dispatchWaiting(now, actions);
        }
        actions.forEach(Runnable::run);
        return job;
    }

    /** Dispatches requests to free slots and refuses expired ones; returns whether requests still wait. */
    boolean tick() {
        List<Runnable> actions = new ArrayList<>();
        boolean stillWaiting;
        synchronized (lock) {
            if (waiting.isEmpty() && occupiedSlots.isEmpty()) {
                return false;
            }
            long now = clock.getAsLong();
            for (Work<QueuedJob> work : queue.expired(now)) {
                waiting.remove(work.payload());
                refuse(work.payload(), Refused.of(ResultCode.EXPIRED_IN_QUEUE, ""), actions);
            }
            dispatchWaiting(now, actions);
            stillWaiting = !waiting.isEmpty();
        }
        actions.forEach(Runnable::run);
        return stillWaiting;
    }

    /** Refuses all waiting requests, because this process can no longer serve them. */
    void refuseWaiting(ResultCode code, String detail) {
        List<Runnable> actions = new ArrayList<>();
        synchronized (lock) {
            for (QueuedJob job : List.copyOf(waiting)) {
                if (queue.cancel(job.work())) {
                    waiting.remove(job);
                    refuse(job, Refused.of(code, detail), actions);
                }
            }
        }
        actions.forEach(Runnable::run);
    }

    /** Sets the minimum shares of the ranks. */
    void floors(Map<Rank, Double> floors) {
        synchronized (lock) {
            queue.floors(floors);
        }
    }

    /** Runs {@code action} under the lock of this shard. */
    void runLocked(Runnable action) {
        synchronized (lock) {
            action.run();
        }
    }

    /** Returns the result of {@code value}, called under the lock of this shard. */
    <T> T readLocked(Supplier<T> value) {
        synchronized (lock) {
            return value.get();
        }
    }

    void cancel(QueuedJob job) {
        cancelQueued(job);
        OutboundCall call;
        synchronized (lock) {
            job.markCancelled();
            call = job.call();
        }
        if (call != null && stopsWhenCancelled(job)) {
            call.cancel();
        }
    }

    /**
     * Returns whether the endpoint stops a request whose connection is closed. An at-most-once request may keep
     * running, so its slot stays in use until its response or its deadline.
     */
    private static boolean stopsWhenCancelled(QueuedJob job) {
        return job.request().idempotent();
    }

    void cancelQueued(QueuedJob job) {
        boolean removed;
        synchronized (lock) {
            removed = waiting.contains(job) && queue.cancel(job.work());
            if (removed) {
                waiting.remove(job);
            }
        }
        if (removed) {
            job.refuse(Refused.of(ResultCode.CANCELLED_IN_QUEUE, ""));
        }
    }

    /** Returns how many requests of rank {@code minRank} or higher wait or are in flight. */
    int outstanding(Rank minRank) {
        synchronized (lock) {
            int sum = 0;
            for (Rank rank : Rank.values()) {
                if (rank.compareTo(minRank) <= 0) {
                    sum += queue.waiting(rank) + queue.inFlight(rank);
                }
            }
            return sum;
        }
    }

    /** Returns the load for operators and heartbeats. */
    QueueLoad load() {
        synchronized (lock) {
            Map<Rank, Integer> byRank = new EnumMap<>(Rank.class);
            for (Rank rank : Rank.values()) {
                byRank.put(rank, queue.waiting(rank));
            }
            int free = slots.freeSlots(clock.getAsLong());
            return new QueueLoad(queue.inFlight(), free, byRank, dispatched, refused);
        }
    }

    /**
     * Load of a shard.
     *
     * @param freeSlots slots that may be used beyond those in flight
     * @param dispatched requests sent since the process started
     * @param refused requests refused since the process started
     */
    record QueueLoad(int inFlight, int freeSlots, Map<Rank, Integer> waiting, long dispatched, long refused) {}

    /**
     * Sets the queue's limit to the requests in flight plus the free slots, so that overused slots of one endpoint do
     * not block free slots of another. Returns the free slots.
     */
    private int updateLimit(long now) {
        int free = slots.freeSlots(now);
        queue.limit(queue.inFlight() + free);
        return free;
    }

    private void dispatchWaiting(long now, List<Runnable> actions) {
        releaseDueSlots(now);
        while (updateLimit(now) > 0) {
            Optional<Work<QueuedJob>> next = queue.next(now);
            if (next.isEmpty()) {
                return;
            }
            QueuedJob job = next.get().payload();
            waiting.remove(job);
            if (job.request().deadlineNanos() <= now) {
                queue.finished(job.work(), now);
                refuse(job, Refused.of(ResultCode.EXPIRED_IN_QUEUE, ""), actions);
            } else {
                slots.claim(job, now);
                dispatched++;
                actions.add(() -> send(job));
            }
        }
    }

    private void send(QueuedJob job) {
        OutboundCall call = slots.send(job, result -> finish(job, result));
        boolean cancelNow;
        synchronized (lock) {
            job.call(call);
            cancelNow = job.isCancelled() && stopsWhenCancelled(job);
        }
        if (cancelNow) {
            call.cancel();
        }
    }

    /**
     * Delivers a result. If the response is complete, the slot is released first, so that the next request does not
     * wait for a slow caller.
     */
    private void finish(QueuedJob job, AttemptResult result) {
        if (result instanceof Answered answered && answered.remainingBody().isPresent()) {
            ObservedBody body = new ObservedBody(answered.remainingBody().get());
            try {
                job.accept(answered.withRemainingBody(body));
            } finally {
                release(job, result, body);
            }
            return;
        }
        release(job, result, true, true);
        job.accept(result);
    }

    private void release(QueuedJob job, AttemptResult result, ObservedBody body) {
        release(job, result, body.hasEnded(), !body.hasFailed());
    }

    private void release(QueuedJob job, AttemptResult result, boolean fullyRead, boolean healthy) {
        List<Runnable> actions = new ArrayList<>();
        synchronized (lock) {
            long now = clock.getAsLong();
            slots.recordOutcome(job, result, healthy, now);
            occupiedSlots.add(new OccupiedSlot(job, slots.busyUntilNanos(job, result, fullyRead, now)));
            dispatchWaiting(now, actions);
        }
        actions.forEach(Runnable::run);
    }

    private void releaseDueSlots(long now) {
        while (!occupiedSlots.isEmpty() && occupiedSlots.peek().untilNanos() <= now) {
            QueuedJob job = occupiedSlots.remove().job();
            slots.release(job, now);
            queue.finished(job.work(), now);
        }
    }

    private void displace(Work<QueuedJob> work, List<Runnable> actions) {
        waiting.remove(work.payload());
        refuse(work.payload(), Refused.of(ResultCode.DISPLACED, ""), actions);
    }

    private void refuse(QueuedJob job, Refused refusal, List<Runnable> actions) {
        refused++;
        actions.add(() -> job.refuse(refusal));
    }

    private static Refused refusal(Refusal refusal) {
        return new Refused(refusal.code(), "", refusal.retryAfterMs(), false);
    }
}
