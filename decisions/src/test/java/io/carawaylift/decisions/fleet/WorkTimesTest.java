package io.carawaylift.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class WorkTimesTest {
    /** Guards against forgotten objects that make remembered ones look slow, so that requests spread and all are forgotten. */
    @Test
    void aMinorityOfForgottenObjectsDoesNotRaiseTheTimeOfRememberedOnes() {
        WorkTimes times = new WorkTimes(600);
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 2000; i++) {
            boolean forgotten = random.nextInt(100) < 40;
            times.add(true, (forgotten ? 880 : 264) * (0.85 + 0.3 * random.nextDouble()));
            times.add(false, 880);
        }

        assertThat(times.expected(true)).isAtMost(330.0);
        assertThat(times.expected(false)).isWithin(50).of(880);
    }

    /** Guards against a model in which an object that is not remembered would be served faster. */
    @Test
    void otherObjectsAreNeverExpectedToBeFaster() {
        WorkTimes times = new WorkTimes(600);
        for (int i = 0; i < 500; i++) {
            times.add(false, 10);
        }
        assertThat(times.expected(false)).isAtLeast(times.expected(true));
    }
}
