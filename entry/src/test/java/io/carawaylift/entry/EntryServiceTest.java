package io.carawaylift.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.entry.EntryCluster.Result;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Headers;
import io.carawaylift.model.ResultCode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Call;
import okhttp3.RequestBody;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the request path end to end, with entry processes, callers and endpoints in one process. */
@Timeout(60)
class EntryServiceTest {
    private static final int LONG_BODY_BYTES = 2_000_000;

    private final EntryCluster cluster = new EntryCluster();
    private final EntryProcess first = cluster.start("h1");

    @AfterEach
    void stop() {
        cluster.close();
    }

    private static int number(ResultCode code) {
        return code.number();
    }

    /** Sends requests until the retry budget, a tenth of first attempts, allows some retries. */
    private void fillRetryBudget() throws IOException {
        for (int count = 0; count < 30; count++) {
            assertThat(cluster.get(first, "/s/warm").status()).isEqualTo(200);
        }
    }

    private static boolean isWarmUp(ScriptedUpstream.Run run) {
        return run.requestLine().startsWith("GET /warm ");
    }

    private static long runsAfterWarmUp(ScriptedUpstream upstream) {
        return upstream.runs().stream().filter(run -> !isWarmUp(run)).count();
    }

    /** Answers warm-up requests with 200 and all others with {@code script}. */
    private static ScriptedUpstream.Script afterWarmUp(ScriptedUpstream.Script script) {
        return (run, out) -> isWarmUp(run) ? ScriptedUpstream.ok("warm").respond(run, out) : script.respond(run, out);
    }

    @Test
    void requestReachesEndpointThroughItsOwner() throws IOException {
        EntryProcess second = cluster.start("h2");
        try (ScriptedUpstream upstream = new ScriptedUpstream(ScriptedUpstream.ok("hello"))) {
            cluster.endpoint("e1", upstream, 2, second).publish();
            Result viaOwner = cluster.get(first, "/s/rooms?day=1");
            Result direct = cluster.get(second, "/s/rooms?day=1");
            assertThat(viaOwner.body()).isEqualTo("hello");
            assertThat(direct.body()).isEqualTo("hello");
            assertThat(viaOwner.code()).isEqualTo(number(ResultCode.ANSWERED));
            assertThat(upstream.runs()).hasSize(2);
            assertThat(upstream.runs().get(0).requestLine()).isEqualTo("GET /rooms?day=1 HTTP/1.1");
            assertThat(upstream.runs().get(0).headers()).containsKey("carawaylift-deadline-ms");
            assertThat(upstream.runs().get(0).headers()).doesNotContainKey("carawaylift-hop");
            List<DecisionRecord> explained =
                    cluster.service(first).pages().explain(viaOwner.headers().get(Headers.REQUEST_ID));
            assertThat(explained.get(0).attempts().get(0).endpoint()).isEqualTo("e1");
            assertThat(explained.get(0).attempts().get(0).owner()).isEqualTo("h2.1");
            AdminPages.Status status = cluster.service(second).pages().status();
            assertThat(status.upstreams().get(0).usableSlots()).isEqualTo(2);
            assertThat(status.shares().get(0).inForce()).isEqualTo(1.0);
        }
    }

    @Test
    void requestsAreRefusedAsNotRunWithoutTable() throws IOException {
        Result result = cluster.get(first, "/s/rooms");
        assertThat(result.code()).isEqualTo(number(ResultCode.NO_TABLE));
        assertThat(result.headers().get("Retry-After")).isEqualTo("1");
    }

    @Test
    void requestThatExpiresInQueueDoesNotRun() throws IOException {
        CountDownLatch finish = new CountDownLatch(1);
        CountDownLatch started = new CountDownLatch(1);
        try (ScriptedUpstream upstream = new ScriptedUpstream((run, out) -> {
            started.countDown();
            finish.await();
            return ScriptedUpstream.ok("late").respond(run, out);
        })) {
            cluster.endpoint("e1", upstream, 1, first).publish();
            CompletableFuture<Result> running = CompletableFuture.supplyAsync(() -> unchecked("/s/slow"));
            assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();
            Result expired = cluster.call(cluster.request(first, "/s/waits")
                    .header(Headers.DEADLINE_MS, "100")
                    .build());
            assertThat(expired.code()).isEqualTo(number(ResultCode.EXPIRED_IN_QUEUE));
            finish.countDown();
            assertThat(running.join().body()).isEqualTo("late");
            assertThat(upstream.runs()).hasSize(1);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private Result unchecked(String path) {
        try {
            return cluster.get(first, path);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void disconnectOfCallerClosesUpstreamConnection() throws IOException, InterruptedException {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedUpstream upstream = new ScriptedUpstream((run, out) -> {
            started.countDown();
            while (closed.getCount() > 0) {
                try {
                    // The first writes after a reset succeed because they are buffered; later ones fail.
                    ScriptedUpstream.write(out, "HTTP/1.1 102 Processing\r\n\r\n");
                    TimeUnit.MILLISECONDS.sleep(5);
                } catch (IOException e) {
                    closed.countDown();
                }
            }
            return false;
        })) {
            cluster.endpoint("e1", upstream, 1, first).publish();
            Call call =
                    cluster.client.newCall(cluster.request(first, "/s/rooms").build());
            CompletableFuture<Void> disconnected =
                    CompletableFuture.runAsync(() -> assertThrows(IOException.class, call::execute));
            assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();
            call.cancel();
            disconnected.join();
            assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void truncatedShortBodyIsReportedAsUnknown() throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream((run, out) -> {
            ScriptedUpstream.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
            return false;
        })) {
            cluster.endpoint("e1", upstream, 1, first).publish();
            assertThat(cluster.get(first, "/s/rooms").code()).isEqualTo(number(ResultCode.ANSWER_CUT));
        }
    }

    @Test
    void bodyWithoutFramingIsReportedAsUnknown() throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream((run, out) -> {
            ScriptedUpstream.write(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc");
            return false;
        })) {
            cluster.endpoint("e1", upstream, 1, first).publish();
            assertThat(cluster.get(first, "/s/rooms").code()).isEqualTo(number(ResultCode.ANSWER_CUT));
        }
    }

    @Test
    void truncatedLongBodyNeverEndsCleanly() throws IOException {
        EntryProcess second = cluster.start("h2");
        try (ScriptedUpstream upstream = new ScriptedUpstream((run, out) -> {
            boolean chunked = run.requestLine().contains("chunked");
            String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LONG_BODY_BYTES;
            ScriptedUpstream.write(out, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            ScriptedUpstream.write(out, "f4240\r\n" + "x".repeat(1_000_000) + "\r\n");
            return false;
        })) {
            cluster.endpoint("e1", upstream, 1, second).publish();
            for (String path : List.of("/s/chunked", "/s/length")) {
                assertCut(second, path);
                assertCut(first, path);
            }
            assertThat(upstream.runs()).hasSize(4);
        }
    }

    /**
     * Asserts that a truncated response breaks off or, if the connection was reset before its head was passed on, is
     * replaced by the result code for it.
     */
    private void assertCut(EntryProcess entry, String path) {
        int code;
        try {
            code = cluster.get(entry, path).code();
        } catch (IOException e) {
            return;
        }
        assertThat(code).isEqualTo(number(ResultCode.ANSWER_CUT));
    }

    @Test
    void truncatedDownloadIsResumedFromAnotherEndpoint() throws IOException {
        String body = "0123456789".repeat(LONG_BODY_BYTES / 10);
        ScriptedUpstream.Script script = afterWarmUp((run, out) -> {
            String range = run.headers().get("range");
            int from = range == null ? 0 : Integer.parseInt(range.substring("bytes=".length(), range.length() - 1));
            String head = from == 0 ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 206 Partial Content\r\n";
            String place = "Content-Range: bytes " + from + "-" + (body.length() - 1) + "/" + body.length() + "\r\n";
            ScriptedUpstream.write(out, head + (from == 0 ? "" : place) + "ETag: \"v1\"\r\n");
            ScriptedUpstream.write(out, "Content-Length: " + (body.length() - from) + "\r\n\r\n");
            ScriptedUpstream.write(out, from == 0 ? body.substring(0, 700_000) : body.substring(from));
            return from > 0;
        });
        try (ScriptedUpstream one = new ScriptedUpstream(script);
                ScriptedUpstream two = new ScriptedUpstream(script)) {
            cluster.endpoint("e1", one, 1, first).endpoint("e2", two, 1, first).publish();
            fillRetryBudget();
            assertThat(cluster.get(first, "/s/file").body()).isEqualTo(body);
            assertThat(runsAfterWarmUp(one) + runsAfterWarmUp(two)).isEqualTo(2);
        }
    }

    @Test
    void unresponsiveConnectionIsHedgedOnNewConnection() throws IOException {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedUpstream.Script script = afterWarmUp((run, out) -> {
            if (run.headers().get("connection").equals("close")) {
                return ScriptedUpstream.ok("hedged").respond(run, out);
            }
            release.await();
            return false;
        });
        try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
            cluster.endpoint("e1", upstream, 2, first).publish();
            fillRetryBudget();
            assertThat(cluster.get(first, "/s/rooms").body()).isEqualTo("hedged");
            assertThat(runsAfterWarmUp(upstream)).isEqualTo(2);
            release.countDown();
        }
    }

    @Test
    void upstreamRefusalIsRetriedWithinBudgetAndReportedAsNotRun() throws IOException {
        EntryProcess second = cluster.start("h2");
        ScriptedUpstream.Script refuse = afterWarmUp((run, out) -> {
            ScriptedUpstream.write(out, "HTTP/1.1 503 No\r\nCarawaylift-Not-Run: true\r\nContent-Length: 0\r\n\r\n");
            return true;
        });
        try (ScriptedUpstream one = new ScriptedUpstream(refuse);
                ScriptedUpstream two = new ScriptedUpstream(refuse)) {
            cluster.endpoint("e1", one, 2, first).endpoint("e2", two, 2, second).publish();
            Result withoutRetryBudget = cluster.get(first, "/s/rooms");
            assertThat(withoutRetryBudget.code()).isEqualTo(number(ResultCode.UPSTREAM_REFUSED));
            assertThat(withoutRetryBudget.headers().get("Retry-After")).isNotEqualTo("0");
            assertThat(runsAfterWarmUp(one) + runsAfterWarmUp(two)).isEqualTo(1);
            fillRetryBudget();
            assertThat(cluster.get(first, "/s/rooms").code()).isEqualTo(number(ResultCode.UPSTREAM_REFUSED));
            assertThat(runsAfterWarmUp(one) + runsAfterWarmUp(two)).isEqualTo(3);
        }
    }

    @Test
    void malformedRequestsAreRefusedWithOffendingValue() throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream(ScriptedUpstream.ok("hello"))) {
            cluster.endpoint("e1", upstream, 1, first).publish();
            assertThat(cluster.get(first, "/other/x").code()).isEqualTo(number(ResultCode.UNKNOWN_SERVICE));
            assertThat(cluster.get(first, "/tickets?count=0").code()).isEqualTo(number(ResultCode.UNKNOWN_SERVICE));
            Result rank = cluster.call(
                    cluster.request(first, "/s/x").header(Headers.RANK, "top").build());
            assertThat(rank.code()).isEqualTo(number(ResultCode.BAD_REQUEST));
            assertThat(rank.headers().get(Headers.DETAIL)).contains("top");
            RequestBody large = RequestBody.create(new byte[ServerState.MAX_BODY_BYTES + 1]);
            Result body =
                    cluster.call(cluster.request(first, "/s/x").post(large).build());
            assertThat(body.code()).isEqualTo(number(ResultCode.BODY_TOO_LARGE));
            assertThat(upstream.runs()).isEmpty();
        }
    }

    /** Guards against a response that is buffered in memory because its caller does not read. */
    @Test
    void callerThatDoesNotReadAppliesBackPressureToUpstream() throws Exception {
        int pieces = 256;
        byte[] piece = new byte[1_000_000];
        AtomicInteger written = new AtomicInteger();
        try (ScriptedUpstream upstream = new ScriptedUpstream((run, out) -> {
                    ScriptedUpstream.write(
                            out, "HTTP/1.1 200 OK\r\nContent-Length: " + pieces * 1_000_000 + "\r\n\r\n");
                    for (int count = 0; count < pieces; count++) {
                        out.write(piece);
                        written.incrementAndGet();
                    }
                    return true;
                });
                Socket caller = new Socket(
                        InetAddress.getLoopbackAddress(), cluster.service(first).port())) {
            cluster.endpoint("e1", upstream, 1, first).publish();
            ScriptedUpstream.write(caller.getOutputStream(), "GET /s/file HTTP/1.1\r\nHost: x\r\n\r\n");
            assertThat(caller.getInputStream().read()).isEqualTo('H');
            int previous = -1;
            while (written.get() != previous) {
                previous = written.get();
                TimeUnit.MILLISECONDS.sleep(300);
            }
            assertThat(written.get()).isLessThan(pieces / 2);
        }
    }

    /** Guards against requests that keep failing at a terminated owner whose lease has not expired. */
    @Test
    void unreachableOwnerIsSkippedUntilNextProbe() throws IOException {
        EntryProcess second = cluster.start("h2");
        try (ScriptedUpstream upstream = new ScriptedUpstream(ScriptedUpstream.ok("hello"))) {
            cluster.endpoint("e1", upstream, 1, first)
                    .endpoint("e2", upstream, 50, second)
                    .publish();
            cluster.service(second).abort();
            int refused = 0;
            for (int count = 0; count < 40; count++) {
                refused += cluster.get(first, "/s/rooms").code() == number(ResultCode.CONNECT_FAILED) ? 1 : 0;
            }
            assertThat(refused).isAtMost(5);
        }
    }

    @Test
    void stoppingProcessFinishesRequestsAndServesNewOnes() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch finish = new CountDownLatch(1);
        try (ScriptedUpstream upstream = new ScriptedUpstream((run, out) -> {
            if (run.requestLine().startsWith("GET /slow ")) {
                started.countDown();
                finish.await();
            }
            return ScriptedUpstream.ok("done").respond(run, out);
        })) {
            cluster.endpoint("e1", upstream, 2, first).publish();
            CompletableFuture<Result> slow = CompletableFuture.supplyAsync(() -> unchecked("/s/slow"));
            assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(cluster.service(first)::stop);
            while (!cluster.service(first).pages().status().state().equals("LEAVING")) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            assertThat(cluster.get(first, "/s/new").body()).isEqualTo("done");
            finish.countDown();
            assertThat(slow.join().body()).isEqualTo("done");
            assertThat(stopped.isDone()).isFalse();
            cluster.publishOwners(List.of());
            stopped.get(20, TimeUnit.SECONDS);
            assertThrows(IOException.class, () -> cluster.get(first, "/s/new"));
        }
    }
}
