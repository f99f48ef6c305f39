package io.carawaylift.decisions.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class ServiceRotationTest {
    private static Route split(double first, double second) {
        return new Route(
                "r",
                "a.example",
                "/",
                RequestKind.SAFE,
                1000,
                500,
                0,
                List.of(new WeightedService("first", first), new WeightedService("second", second)),
                1,
                false,
                Set.of(),
                false);
    }

    private static Map<String, Integer> counts(ServiceRotation rotation, Route route, int requests) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            counts.merge(rotation.next(route), 1, Integer::sum);
        }
        return counts;
    }

    /** Guards against services of a traffic split that miss their weight in a short run of requests. */
    @Property(tries = 200)
    void everyPrefixOfTheSequenceIsWithinOneRequestOfTheWeights(
            @ForAll @IntRange(min = 1, max = 99) int weight, @ForAll @IntRange(min = 1, max = 300) int requests) {
        Map<String, Integer> counts = counts(new ServiceRotation(), split(weight, 100 - weight), requests);

        double expected = requests * weight / 100.0;
        assertThat((double) counts.getOrDefault("first", 0)).isWithin(1.0).of(expected);
    }

    /** Guards against requests to a service that was disabled with weight 0. */
    @Test
    void aServiceWithWeightZeroGetsNothing() {
        assertThat(counts(new ServiceRotation(), split(0, 5), 50)).containsExactly("second", 50);
    }

    /** Guards against credits of an old configuration that delay the effect of new weights. */
    @Test
    void changedWeightsApplySoonAfterTheChange() {
        ServiceRotation rotation = new ServiceRotation();
        counts(rotation, split(90, 10), 500);

        assertThat(counts(rotation, split(10, 90), 100).get("second")).isAtLeast(85);
    }
}
