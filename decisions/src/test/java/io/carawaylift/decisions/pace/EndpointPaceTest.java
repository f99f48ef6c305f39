package io.carawaylift.decisions.pace;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

final class EndpointPaceTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1000 * MILLI;
    private static final double COLD_PER_SECOND = 4;

    private final EndpointPace pace = new EndpointPace(0);

    /** Guards against half of the tolerated rate for an endpoint that takes more, or more for one that cannot. */
    @Test
    void theColdRateRisesWithGoodResponsesAndFallsWithBadOnes() {
        assertThat(pace.coldRate(COLD_PER_SECOND)).isEqualTo(2.0);
        for (int i = 0; i < 10; i++) {
            pace.responded(1.2, 0);
        }
        assertThat(pace.coldRate(COLD_PER_SECOND)).isEqualTo(0.85 * COLD_PER_SECOND);
        pace.refused();
        assertThat(pace.coldRate(COLD_PER_SECOND)).isWithin(1e-9).of(0.425 * COLD_PER_SECOND);
        pace.responded(1, 2);
        pace.responded(5, 0);
        assertThat(pace.coldRate(COLD_PER_SECOND)).isLessThan(0.25 * COLD_PER_SECOND);
        for (int i = 0; i < 20; i++) {
            pace.refused();
        }
        assertThat(pace.coldRate(COLD_PER_SECOND)).isAtLeast(0.1 * COLD_PER_SECOND);
    }

    /**
     * Two hosts that cannot see each other, with the fastest endpoint: together below the tolerated rate times 1.5 plus
     * 5, which is the stricter of the bounds in use, in any second.
     */
    @Property(tries = 60)
    void twoHostsTogetherStayUnderTheBoundInAnySecond(
            @ForAll long seed, @ForAll @DoubleRange(min = 0.5, max = 200) double tolerated) {
        SplittableRandom random = new SplittableRandom(seed);
        EndpointPace[] hosts = {new EndpointPace(0), new EndpointPace(0)};
        java.util.ArrayDeque<Long> sent = new java.util.ArrayDeque<>();
        for (long now = 0; now < 5 * SECOND; now += 2 * MILLI) {
            for (EndpointPace host : hosts) {
                if (random.nextInt(4) > 0 && host.tryTakeCold(tolerated, now)) {
                    sent.addLast(now);
                    host.responded(1, 0);
                }
            }
            while (!sent.isEmpty() && sent.peekFirst() <= now - SECOND) {
                sent.pollFirst();
            }
            assertWithMessage("requests in one second").that(sent.size() * 1.0).isAtMost(tolerated * 1.5 + 5);
        }
    }

    /** Guards against the full load at once when the cold period ends. */
    @Test
    void theShareDoublesInEachRoundWithoutABadResponse() {
        assertThat(pace.share(0)).isEqualTo(1);
        pace.startRamp(SECOND);
        assertThat(pace.share(SECOND)).isEqualTo(0.25);
        assertThat(pace.share(SECOND + 260 * MILLI)).isEqualTo(0.5);
        pace.refused();
        assertThat(pace.share(SECOND + 510 * MILLI)).isEqualTo(0.25);
        assertThat(pace.share(SECOND + 760 * MILLI)).isEqualTo(0.5);
        assertThat(pace.share(SECOND + 1010 * MILLI)).isEqualTo(1);
        pace.refused();
        assertThat(pace.share(9 * SECOND)).isEqualTo(1);
    }

    /** Guards against a slow endpoint that takes its full share because time passed. */
    @Test
    void theShareStaysLowWhileResponsesAreBad() {
        pace.startRamp(0);
        for (long now = 0; now < 5 * SECOND; now += 100 * MILLI) {
            pace.responded(6, 0);
            assertThat(pace.share(now)).isAtMost(0.25);
        }
    }
}
