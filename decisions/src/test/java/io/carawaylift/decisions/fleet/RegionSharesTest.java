package io.carawaylift.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class RegionSharesTest {
    private static final long SECOND = 1_000_000_000L;
    private static final double MAX_SHIFT_IN_TWO_SECONDS = 0.15;

    private static RegionShares shares() {
        return new RegionShares("home", 0.75, MAX_SHIFT_IN_TWO_SECONDS / 4);
    }

    /**
     * Guards against traffic to other regions, at a cost in bytes and latency, although the own region has free slots.
     */
    @Test
    void requestsStayInARegionWithFreeSlots() {
        RegionShares shares = shares();
        shares.update(Map.of("home", 10.0, "away", 10.0), Map.of("home", 7.0, "away", 1.0), 1, 0);

        assertThat(shares.share("home")).isWithin(1e-9).of(1);
    }

    /** Guards against a region that is overloaded while others have free slots. */
    @Test
    void excessRequestsGoToRegionsWithFreeSlots() {
        RegionShares shares = shares();
        shares.update(
                Map.of("home", 10.0, "near", 40.0, "full", 10.0),
                Map.of("home", 15.0, "near", 5.0, "full", 20.0),
                1,
                0);

        assertThat(shares.share("home")).isWithin(0.01).of(0.5);
        assertThat(shares.share("near")).isWithin(0.01).of(0.5);
        assertThat(shares.share("full")).isWithin(1e-9).of(0);
    }

    /** Guards against endpoints that get requests for more objects than they can cache. */
    @Test
    void ownShareIsLimitedToWhatTheEndpointsCanCache() {
        RegionShares shares = shares();
        shares.update(Map.of("home", 10.0, "away", 10.0), Map.of("home", 2.0), 0.4, 0);

        assertThat(shares.share("home")).isWithin(1e-9).of(0.4);
    }

    /** Guards against moving more than the allowed share between two windows of two seconds. */
    @Property(tries = 100)
    void sharesNeverMoveFasterThanAllowed(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RegionShares shares = shares();
        Map<String, Double> mean = new HashMap<>();
        Map<String, Double> before = Map.of();
        for (int step = 0; step < 160; step++) {
            if (step % 8 == 0) {
                shares.update(
                        Map.of("home", slots(random), "b", slots(random), "c", slots(random)),
                        Map.of("home", slots(random), "b", slots(random), "c", slots(random)),
                        random.nextDouble(),
                        step * SECOND / 4);
            }
            for (String region : Set.of("home", "b", "c")) {
                mean.merge(region, shares.share(region) / 8, Double::sum);
            }
            if (step % 8 == 7) {
                assertThat(moved(before, mean)).isAtMost(MAX_SHIFT_IN_TWO_SECONDS + 1e-9);
                before = Map.copyOf(mean);
                mean.clear();
            }
        }
    }

    private static double slots(SplittableRandom random) {
        return random.nextInt(4) == 0 ? 0 : random.nextDouble(50);
    }

    private static double moved(Map<String, Double> before, Map<String, Double> after) {
        double moved = 0;
        for (Map.Entry<String, Double> share : after.entrySet()) {
            moved += before.isEmpty() ? 0 : Math.max(0, share.getValue() - before.get(share.getKey()));
        }
        return moved;
    }

    /** Guards against shares that are right on average only and swing in short windows. */
    @Test
    void shortWindowsAreWithinAFewRequestsOfTheShares() {
        RegionShares shares = shares();
        shares.update(Map.of("home", 10.0, "away", 90.0), Map.of("home", 15.0), 1, 0);
        SplittableRandom random = new SplittableRandom(7);
        for (int window = 0; window < 50; window++) {
            int home = 0;
            for (int i = 0; i < 40; i++) {
                String object = "object-" + random.nextInt(5);
                home += shares.next(object, region -> true).equals("home") ? 1 : 0;
            }
            assertThat((double) home).isWithin(7).of(40 * shares.share("home"));
        }
    }

    /** Guards against objects that have to be cached in every region. */
    @Test
    void mostRequestsForAnObjectGoToOneRegion() {
        RegionShares shares = shares();
        shares.update(Map.of("home", 10.0, "away", 90.0), Map.of("home", 15.0), 1, 0);
        SplittableRandom random = new SplittableRandom(11);
        Map<String, Integer> home = new HashMap<>();
        Map<String, Integer> all = new HashMap<>();
        for (int i = 0; i < 3000; i++) {
            String object = "object-" + random.nextInt(30);
            all.merge(object, 1, Integer::sum);
            if (shares.next(object, region -> true).equals("home")) {
                home.merge(object, 1, Integer::sum);
            }
        }
        Set<String> concentratedObjects = new HashSet<>();
        all.forEach((object, count) -> {
            double fraction = home.getOrDefault(object, 0) / (double) count;
            if (fraction < 0.25 || fraction > 0.75) {
                concentratedObjects.add(object);
            }
        });

        assertThat(concentratedObjects.size()).isAtLeast(24);
    }

    /** Guards against requests in regions that their route forbids. */
    @Test
    void onlyUsableRegionsAreChosen() {
        RegionShares shares = shares();
        shares.update(Map.of("home", 10.0, "away", 90.0), Map.of("home", 30.0), 1, 0);

        for (int i = 0; i < 100; i++) {
            assertThat(shares.next("object-" + i, region -> region.equals("home")))
                    .isEqualTo("home");
        }
        assertThat(shares.next("object", region -> false)).isEmpty();
    }
}
