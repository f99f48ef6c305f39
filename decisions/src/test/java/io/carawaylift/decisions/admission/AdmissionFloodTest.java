package io.carawaylift.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.Rank;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates floods of 10 times the capacity with fixed seeds. {@link FifoQueue} must fail the same bounds. */
final class AdmissionFloodTest {
    private static final Map<Rank, Double> FLOORS = Map.of(Rank.URGENT, 0.3, Rank.STANDARD, 0.3, Rank.DEFERRABLE, 0.15);
    private static final int CAPACITY = 512;
    private static final long SECONDS = 120;

    /** Guards against floors that are counted in requests, or lost by rounding when a queue has very few slots. */
    @ParameterizedTest
    @CsvSource({"1,1", "2,2", "3,3", "5,4", "7,5"})
    void otherRanksKeepNineTenthsOfTheirFloorsInAnUrgentFlood(int slots, long seed) {
        FloodSimulation run = urgentFlood(queue(slots), slots, seed);

        assertThat(run.slotTimeFraction(Rank.STANDARD)).isAtLeast(0.9 * 0.3);
        assertThat(run.slotTimeFraction(Rank.DEFERRABLE)).isAtLeast(0.9 * 0.15);
        assertThat(run.slotTimeFraction(Rank.URGENT)).isAtLeast(0.9 * 0.3);
    }

    /** Guards against slots used for work that finishes after its deadline. */
    @ParameterizedTest
    @CsvSource({"3,11", "5,12", "7,13"})
    void usefulWorkStaysNearCapacityInAnUrgentFlood(int slots, long seed) {
        assertThat(urgentFlood(queue(slots), slots, seed).usefulFraction()).isAtLeast(0.95);
    }

    /** Guards against urgent work waiting behind the flood. */
    @ParameterizedTest
    @CsvSource({"3,21", "5,22", "7,23"})
    void urgentWorkIsServedInTimeInADeferrableFlood(int slots, long seed) {
        FloodSimulation run = deferrableFlood(queue(slots), slots, seed);

        assertThat(run.inTimeFraction(Rank.URGENT)).isAtLeast(0.99);
        assertThat(run.usefulFraction()).isAtLeast(0.95);
    }

    /** Guards against a customer that gets more slot time by sending more requests. */
    @Test
    void customersOfARankGetEqualSlotTime() {
        FloodSimulation run = new FloodSimulation(queue(3), 3, SECONDS, 31)
                .load(Rank.STANDARD, "small", 0.6)
                .load(Rank.STANDARD, "large", 10)
                .run();

        assertThat(run.slotTimeFraction("small")).isWithin(0.05).of(0.5);
        assertThat(run.slotTimeFraction("large")).isWithin(0.05).of(0.5);
    }

    /** Verifies that a FIFO queue misses the bounds of the other tests. */
    @Test
    void aFifoQueueMissesEveryTarget() {
        FloodSimulation urgent = urgentFlood(new FifoQueue(3, CAPACITY), 3, 3);
        FloodSimulation deferrable = deferrableFlood(new FifoQueue(3, CAPACITY), 3, 21);
        FloodSimulation customers = new FloodSimulation(new FifoQueue(3, CAPACITY), 3, SECONDS, 31)
                .load(Rank.STANDARD, "small", 0.6)
                .load(Rank.STANDARD, "large", 10)
                .run();

        assertThat(urgent.slotTimeFraction(Rank.STANDARD)).isLessThan(0.9 * 0.3);
        assertThat(urgent.usefulFraction()).isLessThan(0.95);
        assertThat(deferrable.inTimeFraction(Rank.URGENT)).isLessThan(0.99);
        assertThat(customers.slotTimeFraction("small")).isLessThan(0.45);
    }

    private static QueueUnderTest queue(int slots) {
        return QueueUnderTest.of(AdmissionQueue.<Long>builder()
                .capacity(CAPACITY)
                .limit(slots)
                .floors(FLOORS)
                .build());
    }

    private static FloodSimulation urgentFlood(QueueUnderTest queue, int slots, long seed) {
        return new FloodSimulation(queue, slots, SECONDS, seed)
                .load(Rank.URGENT, "flood", 10)
                .load(Rank.STANDARD, "a", 0.5)
                .load(Rank.DEFERRABLE, "a", 0.4)
                .run();
    }

    private static FloodSimulation deferrableFlood(QueueUnderTest queue, int slots, long seed) {
        return new FloodSimulation(queue, slots, SECONDS, seed)
                .load(Rank.URGENT, "a", 0.3)
                .load(Rank.STANDARD, "a", 0.2)
                .load(Rank.DEFERRABLE, "flood", 10)
                .run();
    }
}
