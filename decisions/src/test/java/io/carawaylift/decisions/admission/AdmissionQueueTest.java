package io.carawaylift.decisions.admission;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.Rank;
import io.carawaylift.model.ResultCode;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class AdmissionQueueTest {
    private static final long MS = 1_000_000;
    private static final long DISTANT_DEADLINE_NANOS = 1_000_000 * MS;

    private long nextId;

    /** Guards against serving ranks in order of arrival. */
    @Test
    void higherRanksStartFirst() {
        AdmissionQueue<String> queue = queue(1, 10);
        Work<String> deferrable = offer(queue, Rank.DEFERRABLE, "a");
        Work<String> standard = offer(queue, Rank.STANDARD, "a");
        Work<String> urgent = offer(queue, Rank.URGENT, "a");

        assertThat(runNext(queue, 0, 1)).isEqualTo(urgent);
        assertThat(runNext(queue, 1, 2)).isEqualTo(standard);
        assertThat(runNext(queue, 2, 3)).isEqualTo(deferrable);
    }

    /** Guards against fairness by request count: a customer whose requests take 100 times as long must run fewer of them. */
    @Test
    void customersTakeTurnsBySlotTime() {
        AdmissionQueue<String> queue = queue(1, 100);
        for (int i = 0; i < 40; i++) {
            offer(queue, Rank.STANDARD, "long");
            offer(queue, Rank.STANDARD, "short");
        }

        long now = 0;
        int longRuns = 0;
        for (int i = 0; i < 40; i++) {
            Work<String> work = queue.next(now * MS).orElseThrow();
            longRuns += work.customer().equals("long") ? 1 : 0;
            now += work.customer().equals("long") ? 100 : 1;
            queue.finished(work, now * MS);
        }

        assertThat(longRuns).isAtMost(2);
    }

    /** Guards against queueing work that cannot start before its deadline. */
    @Test
    void workWhoseEstimatedWaitExceedsItsDeadlineIsRefused() {
        AdmissionQueue<String> queue = queue(1, 100);
        offer(queue, Rank.STANDARD, "a");
        runNext(queue, 0, 100);
        for (int i = 0; i < 5; i++) {
            offer(queue, Rank.STANDARD, "a");
        }

        OfferResult<String> refused = queue.offer(work(Rank.STANDARD, "a", 200 * MS), 100 * MS);
        OfferResult<String> urgent = queue.offer(work(Rank.URGENT, "a", 1_000 * MS), 100 * MS);

        assertThat(refused.refusal().orElseThrow().code()).isEqualTo(ResultCode.DEADLINE_TOO_SHORT);
        assertThat(refused.refusal().orElseThrow().retryAfterMs()).isAtLeast(300);
        assertThat(urgent.refusal()).isEmpty();
    }

    /** Guards against a queue full of low-rank work that blocks higher ranks. */
    @Test
    void aFullQueueDisplacesTheNewestWorkOfTheLowestRank() {
        AdmissionQueue<String> queue = queue(0, 4);
        offer(queue, Rank.DEFERRABLE, "few");
        offer(queue, Rank.DEFERRABLE, "many");
        Work<String> newest = offer(queue, Rank.DEFERRABLE, "many");
        offer(queue, Rank.STANDARD, "a");

        assertThat(queue.offer(work(Rank.URGENT, "a", DISTANT_DEADLINE_NANOS), 0)
                        .displaced())
                .hasValue(newest);
    }

    /** Guards against an urgent flood that fills the queue capacity which other ranks need for their floors. */
    @Test
    void queueCapacityIsReservedForARankWithAFloor() {
        AdmissionQueue<String> queue = queue(0, 10);
        queue.floors(Map.of(Rank.STANDARD, 0.2));
        for (int i = 0; i < 10; i++) {
            offer(queue, Rank.URGENT, "a");
        }

        assertThat(queue.offer(work(Rank.STANDARD, "a", DISTANT_DEADLINE_NANOS), 0)
                        .displaced())
                .isPresent();
        assertThat(queue.offer(work(Rank.STANDARD, "a", DISTANT_DEADLINE_NANOS), 0)
                        .displaced())
                .isPresent();
        OfferResult<String> third = queue.offer(work(Rank.STANDARD, "a", DISTANT_DEADLINE_NANOS), 0);
        OfferResult<String> urgent = queue.offer(work(Rank.URGENT, "a", DISTANT_DEADLINE_NANOS), 0);

        assertThat(third.refusal().orElseThrow().code()).isEqualTo(ResultCode.QUEUE_FULL);
        assertThat(urgent.refusal().orElseThrow().code()).isEqualTo(ResultCode.QUEUE_FULL);
        assertThat(queue.waiting(Rank.STANDARD)).isEqualTo(2);
    }

    /** Guards against starting work after its deadline and returning expired work twice. */
    @Test
    void expiredWorkIsReturnedOnceAndNeverStarts() {
        AdmissionQueue<String> queue = queue(1, 10);
        Work<String> work = work(Rank.URGENT, "a", 5 * MS);
        queue.offer(work, 0);

        assertThat(queue.next(5 * MS)).isEmpty();
        assertThat(queue.cancel(work)).isFalse();
        assertThat(queue.expired(5 * MS)).containsExactly(work);
        assertThat(queue.expired(6 * MS)).isEmpty();
    }

    /** Guards against starts above a limit that was reduced while work was running. */
    @Test
    void nothingStartsUntilRunningWorkFitsASmallerLimit() {
        AdmissionQueue<String> queue = queue(2, 10);
        Work<String> first = offer(queue, Rank.URGENT, "a");
        Work<String> second = offer(queue, Rank.URGENT, "a");
        Work<String> third = offer(queue, Rank.URGENT, "a");
        assertThat(queue.next(0)).hasValue(first);
        assertThat(queue.next(0)).hasValue(second);
        queue.limit(1);

        queue.finished(first, MS);
        assertThat(queue.next(MS)).isEmpty();
        queue.finished(second, 2 * MS);
        assertThat(queue.next(2 * MS)).hasValue(third);
    }

    /** Guards against freeing a slot twice. */
    @Test
    void finishingWorkTwiceViolatesAnInvariant() {
        AdmissionQueue<String> queue = queue(1, 10);
        offer(queue, Rank.URGENT, "a");
        Work<String> work = runNext(queue, 0, 1);

        CarawayliftException failure = assertThrows(CarawayliftException.class, () -> queue.finished(work, 2 * MS));

        assertThat(failure.code()).isEqualTo(ResultCode.INVARIANT_VIOLATED);
    }

    private Work<String> offer(AdmissionQueue<String> queue, Rank rank, String customer) {
        Work<String> work = work(rank, customer, DISTANT_DEADLINE_NANOS);
        assertThat(queue.offer(work, 0).refusal()).isEmpty();
        return work;
    }

    private Work<String> work(Rank rank, String customer, long deadlineNanos) {
        return new Work<>(nextId++, rank, customer, deadlineNanos, "payload");
    }

    private static Work<String> runNext(AdmissionQueue<String> queue, long startMs, long endMs) {
        Work<String> work = queue.next(startMs * MS).orElseThrow();
        queue.finished(work, endMs * MS);
        return work;
    }

    private static AdmissionQueue<String> queue(int slots, int capacity) {
        return AdmissionQueue.<String>builder().limit(slots).capacity(capacity).build();
    }
}
