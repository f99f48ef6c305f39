package io.carawaylift.decisions.steering;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.Table;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class UpstreamSelectorTest {
    private static final long SECOND = 1_000_000_000L;

    private final UpstreamSelector selector = new UpstreamSelector();

    /** Guards against bursts to one upstream and against deviation from the wanted shares. */
    @Test
    void requestsAreDistributedByTheWantedShares() {
        selector.table(TestTables.withWeights(5, 3, 2), 0);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            counts.merge(selector.choose("s", name -> true, 0).orElseThrow(), 1, Integer::sum);
        }
        assertThat(counts).containsExactly("a", 50, "b", 30, "c", 20);
    }

    /** Guards against a sudden shift of traffic after a table change; the limit is 10 percentage points per second. */
    @Test
    void sharesRiseNoFasterThanTheTableAllowsAndSumToOne() {
        Random random = new Random(41);
        selector.table(TestTables.withWeights(1, 1, 1), 0);
        Map<String, Double> before = selector.shares("s", 0);
        long now = 0;
        for (int step = 0; step < 2_000; step++) {
            if (step % 40 == 0) {
                int a = 1 + random.nextInt(10);
                selector.table(TestTables.withWeights(a, random.nextInt(10), random.nextInt(10)), now);
            }
            long passed = random.nextInt(200_000_000);
            now += passed;
            Map<String, Double> after = selector.shares("s", now);
            double maxRise = 0.1 * passed / SECOND + 1e-9;
            for (Map.Entry<String, Double> share : after.entrySet()) {
                assertThat(share.getValue() - before.get(share.getKey())).isAtMost(maxRise);
            }
            assertThat(after.values().stream().mapToDouble(d -> d).sum())
                    .isWithin(1e-6)
                    .of(1);
            before = after;
        }
    }

    /** Guards against new requests to a drained upstream. */
    @Test
    void aDrainedUpstreamLosesItsShareAtOnce() {
        Table table = TestTables.withWeights(2, 1, 1);
        selector.table(table, 0);
        selector.table(
                table.toBuilder().put(TestTables.upstream("a", 2, 0, true)).build(), SECOND);

        assertThat(selector.shares("s", SECOND)).containsExactly("a", 0.0, "b", 0.5, "c", 0.5);
        selector.table(TestTables.withWeights(0, 0, 0), SECOND);
        assertThat(selector.choose("s", name -> true, SECOND)).isEmpty();
    }

    /** Guards against refusing a request although another upstream can take it. */
    @Test
    void unusableUpstreamsLoseTheirShareToTheOthers() {
        selector.table(TestTables.withWeights(5, 3, 0), 0);

        assertThat(selector.choose("s", name -> name.equals("b"), 0)).hasValue("b");
        assertThat(selector.choose("s", name -> name.equals("c"), 0)).isEmpty();
        assertThat(selector.choose("unknown", name -> true, 0)).isEmpty();
    }
}
