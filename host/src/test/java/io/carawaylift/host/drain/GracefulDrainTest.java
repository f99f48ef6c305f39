package io.carawaylift.host.drain;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** The phases of a planned stop in virtual time. */
final class GracefulDrainTest {
    private static final long START_NANOS = Long.MAX_VALUE - 1_000_000_000L;

    private final RecordingServer server = new RecordingServer();
    private final ProcessingWindow window = new ProcessingWindow();
    private final GracefulDrain drain =
            new GracefulDrain(server, window, DrainTimes.of(Duration.ofSeconds(6)), START_NANOS);

    private static final class RecordingServer implements DrainedServer {
        private int acceptingStopped;
        private int answeredAll;
        private boolean busy = true;

        @Override
        public void stopAccepting() {
            acceptingStopped++;
        }

        @Override
        public void answerAll() {
            answeredAll++;
        }

        @Override
        public boolean isBusy() {
            return busy;
        }
    }

    private boolean stepAt(long millis) {
        return drain.step(START_NANOS + Duration.ofMillis(millis).toNanos());
    }

    /** Guards against a host that turns callers away while lookup responses still name it. */
    @Test
    void anIdleServerAcceptsUntilLookupResponsesHaveExpired() {
        server.busy = false;

        assertThat(stepAt(2500)).isFalse();
        assertThat(server.acceptingStopped).isEqualTo(0);
        assertThat(stepAt(2600)).isTrue();
        assertThat(server.acceptingStopped).isEqualTo(1);
    }

    /** Guards against requests that are taken when they can no longer be completed, and end without a response. */
    @Test
    void requestsAreRefusedAfterThatAndAnsweredBeforeTheEnd() {
        stepAt(2500);
        assertThat(window.isAccepting()).isTrue();
        assertThat(window.remainingNanos(START_NANOS)).isEqualTo(5_040_000_000L);
        stepAt(2600);
        assertThat(window.isAccepting()).isFalse();
        assertThat(stepAt(5000)).isFalse();
        assertThat(server.answeredAll).isEqualTo(0);
        assertThat(stepAt(5040)).isFalse();
        assertThat(stepAt(5100)).isFalse();
        assertThat(server.answeredAll).isEqualTo(1);
    }

    /** Guards against a stop that ends before the requests in progress, or later than the process may run. */
    @Test
    void aBusyServerEndsWithItsLastRequestOrShortlyBeforeTheGracePeriod() {
        assertThat(stepAt(2600)).isFalse();
        assertThat(stepAt(5100)).isFalse();
        assertThat(stepAt(5200)).isTrue();
        server.busy = false;

        assertThat(stepAt(2700)).isTrue();
        assertThat(server.acceptingStopped).isEqualTo(1);
    }
}
