package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class StoreRetriesTest {
    private final DefaultEventLoop eventLoop = new DefaultEventLoop();
    private final HostLoop loop = new HostLoop(eventLoop, new EventLog("host-1", OutputStream.nullOutputStream()));
    private final StoreRetries retries = new StoreRetries(loop);

    @AfterEach
    void stop() {
        eventLoop.shutdownGracefully().awaitUninterruptibly(1000);
    }

    /** Guards against a kind that is retried seconds after a call for another kind succeeded. */
    @Test
    void allWaitingCallsAreRetriedWhenOneSucceeds() {
        AtomicInteger retried = new AtomicInteger();
        loop.runAndWait(() -> {
            for (int i = 0; i < 4; i++) {
                retries.retryLater(retried::incrementAndGet);
            }
            retries.succeeded();
        });
        HostFixture.await(() -> retried.get() == 4);
    }

    /** Guards against calls to an unreachable store that multiply with the number of kinds. */
    @Test
    void onlyOneCallAtATimeProbesTheStore() throws InterruptedException {
        AtomicInteger probes = new AtomicInteger();
        Runnable[] failing = new Runnable[1];
        failing[0] = () -> {
            probes.incrementAndGet();
            retries.retryLater(failing[0]);
        };
        loop.runAndWait(() -> {
            for (int i = 0; i < 4; i++) {
                retries.retryLater(failing[0]);
            }
        });
        Thread.sleep(1000);

        // One probe every 50 to 600 ms, whatever the number of waiting calls.
        assertThat(probes.get()).isAtLeast(1);
        assertThat(probes.get()).isAtMost(12);
    }

    /** Guards against a renewal period that starts again with each kind that reaches the store. */
    @Test
    void theReachableTimeStartsAtTheFirstSuccess() throws InterruptedException {
        loop.runAndWait(() -> retries.retryLater(() -> {}));
        loop.runAndWait(() -> assertThat(retries.millisSinceReachable()).isEqualTo(0));
        loop.runAndWait(retries::succeeded);
        Thread.sleep(60);
        loop.runAndWait(retries::succeeded);
        loop.runAndWait(() -> assertThat(retries.millisSinceReachable()).isAtLeast(50));
    }
}
