package io.carawaylift.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class SharedRetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long WINDOW_NANOS = 10 * SECOND;
    private static final double RATIO = 0.2;
    private static final double ALLOWANCE = 60;

    /** Guards against retries that together exceed the limit in some window although each host respects its share. */
    @Property(tries = 60)
    void allHostsTogetherKeepTheLimitInEveryWindow(@ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int hosts) {
        SplittableRandom random = new SplittableRandom(seed);
        List<SharedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            budgets.add(new SharedRetryBudget(RATIO, ALLOWANCE, WINDOW_NANOS));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 4000; i++) {
            boolean burst = now / (7 * SECOND) % 2 == 0;
            now += random.nextLong(burst ? SECOND / 200 : SECOND / 20);
            SharedRetryBudget budget = budgets.get(random.nextInt(hosts));
            if (random.nextInt(2) == 0) {
                budget.recordRequest(now);
                requests.add(now);
            }
            if (budget.tryRetry(hosts, now)) {
                retries.add(now);
            }
        }

        for (long end = WINDOW_NANOS; end <= now; end += SECOND / 4) {
            long from = end - WINDOW_NANOS;
            assertThat((double) countWithin(retries, from, end))
                    .isAtMost(RATIO * countWithin(requests, from, end) + ALLOWANCE);
        }
    }

    private static long countWithin(List<Long> times, long from, long to) {
        return times.stream().filter(time -> time > from && time <= to).count();
    }

    /** Guards against a budget that never recovers. */
    @Test
    void retriesAreAllowedAgainAfterTheWindow() {
        SharedRetryBudget budget = new SharedRetryBudget(0, 10, WINDOW_NANOS);
        int taken = 0;
        while (budget.tryRetry(1, 0)) {
            taken++;
        }

        assertThat(taken).isAtLeast(1);
        assertThat(budget.tryRetry(1, WINDOW_NANOS / 2)).isFalse();
        assertThat(budget.tryRetry(1, WINDOW_NANOS + 1)).isTrue();
    }

    /** Guards against a configuration reload that leaves the old limits in force. */
    @Test
    void changedLimitsApplyImmediately() {
        SharedRetryBudget budget = new SharedRetryBudget(0, 10, WINDOW_NANOS);
        budget.setLimits(0, 0, WINDOW_NANOS);

        assertThat(budget.tryRetry(1, 0)).isFalse();
    }
}
