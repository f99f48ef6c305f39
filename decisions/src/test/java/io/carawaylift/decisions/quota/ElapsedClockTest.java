package io.carawaylift.decisions.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ElapsedClockTest {
    private long monotonicNanos = 77;
    private long wallMillis = 1000;
    private final ElapsedClock clock = new ElapsedClock(() -> monotonicNanos, () -> wallMillis);

    private long afterMillis(long monotonic, long wall) {
        monotonicNanos += TimeUnit.MILLISECONDS.toNanos(monotonic);
        wallMillis += wall;
        return TimeUnit.NANOSECONDS.toMillis(clock.nanos());
    }

    /** Guards against counts that a suspended machine takes for new. */
    @Test
    void aSuspensionCountsAlthoughTheMonotonicClockStoodStill() {
        assertThat(afterMillis(10, 10)).isEqualTo(10);
        assertThat(afterMillis(5, 5005)).isEqualTo(5015);
        assertThat(afterMillis(10, 10)).isEqualTo(5025);
    }

    /** Guards against counts that leave the window early or never because the wall clock was corrected. */
    @Test
    void smallAndBackwardCorrectionsOfTheWallClockDoNotCount() {
        assertThat(afterMillis(10, 60)).isEqualTo(10);
        assertThat(afterMillis(10, -5000)).isEqualTo(20);
        assertThat(afterMillis(10, 10)).isEqualTo(30);
    }
}
