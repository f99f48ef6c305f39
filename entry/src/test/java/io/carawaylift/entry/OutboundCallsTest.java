package io.carawaylift.entry;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.model.ResultCode;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.util.HashedWheelTimer;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import okio.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a request that is sent twice, after a failed pre-send check, or beyond the limit of threads. */
@Timeout(60)
class OutboundCallsTest {
    private final HashedWheelTimer timer = new HashedWheelTimer();
    private final OutboundCalls calls =
            new OutboundCalls(1, System::nanoTime, timer, new EntryMetrics(new SimpleMeterRegistry()));

    @AfterEach
    void stop() {
        calls.stop();
        timer.stop();
    }

    private AttemptResult call(String url, boolean newConnection, OutboundRequest.PreSendCheck check) {
        CompletableFuture<AttemptResult> result = new CompletableFuture<>();
        OutboundRequest request = new OutboundRequest(
                url + "/x",
                newConnection ? "POST" : "GET",
                HeaderList.EMPTY,
                ByteString.EMPTY,
                System.nanoTime() + TimeUnit.SECONDS.toNanos(20),
                0,
                newConnection,
                check);
        calls.start(request, result::complete);
        return result.join();
    }

    @Test
    void requestThatFailsPreSendCheckIsNotSent() throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream(ScriptedUpstream.ok("x"))) {
            Refused refused = Refused.of(ResultCode.NOT_OWNER, "lease ended");
            assertThat(call(upstream.url(), true, now -> Optional.of(refused))).isEqualTo(refused);
            assertThat(upstream.runs()).isEmpty();
        }
    }

    @Test
    void requestOnConnectionClosedByUpstreamIsNotSentTwice() throws IOException, InterruptedException {
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedUpstream upstream = new ScriptedUpstream((run, out) -> {
            ScriptedUpstream.ok("x").respond(run, out);
            closed.countDown();
            return false;
        })) {
            assertThat(call(upstream.url(), false, now -> Optional.empty())).isInstanceOf(Answered.class);
            assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
            // The second call either notices the close before sending and opens a new connection, or loses its request.
            call(upstream.url(), false, now -> Optional.empty());
            assertThat(upstream.runs().size()).isAtMost(2);
        }
    }

    @Test
    void unreachableEndpointIsReportedAsNotRun() throws IOException {
        ScriptedUpstream upstream = new ScriptedUpstream(ScriptedUpstream.ok("x"));
        upstream.close();
        AttemptResult result = call(upstream.url(), true, now -> Optional.empty());
        assertThat(result.code()).isEqualTo(ResultCode.CONNECT_FAILED);
    }

    @Test
    void callBeyondThreadLimitIsRefused() throws IOException {
        CountDownLatch finish = new CountDownLatch(1);
        try (ScriptedUpstream upstream = new ScriptedUpstream((run, out) -> {
            finish.await();
            return ScriptedUpstream.ok("x").respond(run, out);
        })) {
            CompletableFuture<AttemptResult> running =
                    CompletableFuture.supplyAsync(() -> call(upstream.url(), true, now -> Optional.empty()));
            while (upstream.runs().isEmpty()) {
                Thread.onSpinWait();
            }
            AttemptResult second = call(upstream.url(), true, now -> Optional.empty());
            assertThat(second.code()).isEqualTo(ResultCode.QUEUE_FULL);
            finish.countDown();
            assertThat(running.join()).isInstanceOf(Answered.class);
        }
    }
}
