package io.carawaylift.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.Rank;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

final class AdmissionQueuePropertyTest {
    private static final long MS = 1_000_000;
    private static final int STEPS = 600;
    private static final List<Rank> RANKS = List.of(Rank.values());

    private final Set<Long> queuedIds = new TreeSet<>();
    private final List<Work<Integer>> waiting = new ArrayList<>();
    private final List<Work<Integer>> running = new ArrayList<>();

    /** Guards against work that is lost, returned twice or started above the limit, for random orders of calls. */
    @Property(seed = "20261204", tries = 200)
    void everyPieceOfWorkIsRemovedExactlyOnceInAnyOrderOfCalls(@ForAll long seed) {
        Random random = new Random(seed);
        queuedIds.clear();
        waiting.clear();
        running.clear();
        int capacity = 1 + random.nextInt(20);
        AdmissionQueue<Integer> queue = AdmissionQueue.<Integer>builder()
                .capacity(capacity)
                .limit(1)
                .floors(Map.of(Rank.STANDARD, 0.3, Rank.DEFERRABLE, 0.2))
                .build();
        long now = 0;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(20) * MS;
            step(queue, random, step, now);
            int total = queue.waiting(Rank.URGENT) + queue.waiting(Rank.STANDARD) + queue.waiting(Rank.DEFERRABLE);
            assertThat(total).isAtMost(capacity);
            assertThat(queue.inFlight()).isEqualTo(running.size());
        }
        drain(queue, now);
        assertThat(queuedIds).isEmpty();
    }

    private void step(AdmissionQueue<Integer> queue, Random random, int id, long now) {
        switch (random.nextInt(6)) {
            case 0, 1 -> offer(queue, random, id, now);
            case 2 -> start(queue, now);
            case 3 -> finish(queue, random, now);
            case 4 -> queue.expired(now).forEach(this::recordRemoval);
            default -> cancelOrLimit(queue, random);
        }
    }

    private void offer(AdmissionQueue<Integer> queue, Random random, int id, long now) {
        Rank rank = RANKS.get(random.nextInt(RANKS.size()));
        String customer = "customer-" + random.nextInt(4);
        Work<Integer> work = new Work<>(id, rank, customer, now + random.nextInt(400) * MS, 0);
        OfferResult<Integer> offer = queue.offer(work, now);
        if (offer.refusal().isEmpty()) {
            queuedIds.add(work.id());
            waiting.add(work);
        }
        offer.displaced().ifPresent(this::recordRemoval);
    }

    private void start(AdmissionQueue<Integer> queue, long now) {
        queue.next(now).ifPresent(work -> {
            assertThat(work.deadlineNanos()).isGreaterThan(now);
            recordRemoval(work);
            running.add(work);
        });
    }

    private void finish(AdmissionQueue<Integer> queue, Random random, long now) {
        if (!running.isEmpty()) {
            queue.finished(running.remove(random.nextInt(running.size())), now);
        }
    }

    private void cancelOrLimit(AdmissionQueue<Integer> queue, Random random) {
        if (random.nextBoolean() || waiting.isEmpty()) {
            queue.limit(random.nextInt(8));
            return;
        }
        Work<Integer> work = waiting.get(random.nextInt(waiting.size()));
        if (queue.cancel(work)) {
            recordRemoval(work);
        }
    }

    private void recordRemoval(Work<Integer> work) {
        assertThat(queuedIds.remove(work.id())).isTrue();
    }

    private void drain(AdmissionQueue<Integer> queue, long now) {
        queue.limit(1);
        while (!running.isEmpty()) {
            queue.finished(running.remove(0), now);
        }
        queue.expired(Long.MAX_VALUE / 2).forEach(this::recordRemoval);
    }
}
