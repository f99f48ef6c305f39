package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class StoreRetriesTest {
    private final DefaultEventLoop netty = new DefaultEventLoop();
    private final HostLoop loop = new HostLoop(netty, new EventLog("host-1", OutputStream.nullOutputStream()));
    private final StoreRetries retries = new StoreRetries(loop);

    @AfterEach
    void stop() {
        netty.shutdownGracefully().awaitUninterruptibly(1000);
    }

    /** Guards against kinds that learn of the store's return seconds after another kind did. */
    @Test
    void allWaitingCallsAreRepeatedOnceOneSucceeds() {
        AtomicInteger repeated = new AtomicInteger();
        loop.runAndWait(() -> {
            for (int i = 0; i < 4; i++) {
                retries.retryLater(repeated::incrementAndGet);
            }
            retries.succeeded();
        });
        HostFixture.await(() -> repeated.get() == 4);
    }

    /** Guards against calls to a store that is away that multiply with the number of kinds. */
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

    /** Guards against a time for the return of entries that starts anew with each kind that reaches the store. */
    @Test
    void theReturnIsCountedFromTheFirstSuccess() throws InterruptedException {
        loop.runAndWait(() -> retries.retryLater(() -> {}));
        loop.runAndWait(() -> assertThat(retries.millisSinceReachable()).isEqualTo(0));
        loop.runAndWait(retries::succeeded);
        Thread.sleep(60);
        loop.runAndWait(retries::succeeded);
        loop.runAndWait(() -> assertThat(retries.millisSinceReachable()).isAtLeast(50));
    }
}
