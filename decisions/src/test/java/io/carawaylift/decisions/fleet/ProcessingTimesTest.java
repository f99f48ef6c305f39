package io.carawaylift.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class ProcessingTimesTest {
    /**
     * Guards against evicted objects that make cached ones look slow, so that requests spread and more objects are
     * evicted.
     */
    @Test
    void aMinorityOfEvictedObjectsDoesNotRaiseTheEstimateForCachedOnes() {
        ProcessingTimes times = new ProcessingTimes(600);
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 2000; i++) {
            boolean evicted = random.nextInt(100) < 40;
            times.add(true, (evicted ? 880 : 264) * (0.85 + 0.3 * random.nextDouble()));
            times.add(false, 880);
        }

        assertThat(times.expectedMillis(true)).isAtMost(330.0);
        assertThat(times.expectedMillis(false)).isWithin(50).of(880);
    }

    /** Guards against estimates by which an uncached object would be served faster. */
    @Test
    void uncachedObjectsAreNeverExpectedToBeFaster() {
        ProcessingTimes times = new ProcessingTimes(600);
        for (int i = 0; i < 500; i++) {
            times.add(false, 10);
        }
        assertThat(times.expectedMillis(false)).isAtLeast(times.expectedMillis(true));
    }
}
