package io.carawaylift.testing.upstream;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.model.Headers;
import io.carawaylift.testing.http.HttpCalls;
import io.carawaylift.testing.http.PatternContent;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against errors in the counts and faults of the simulated upstream, on which many other tests rely. */
final class SimulatedUpstreamTest {
    private final HttpCalls http = new HttpCalls(3_000);
    private final SimulatedUpstream upstream = new SimulatedUpstream(new UpstreamPlan(
            "127.0.0.1",
            0,
            List.of(new UpstreamPlan.EndpointPlan("e1", "u1", 0, 1, 10)),
            List.of(new UpstreamPlan.ServiceTime("/slow", 400)),
            0));
    private String url;
    private String control;

    @BeforeEach
    void start() {
        upstream.start();
        url = "http://127.0.0.1:" + upstream.endpointPort(0);
        control = "http://127.0.0.1:" + upstream.controlPort();
    }

    @AfterEach
    void stop() {
        upstream.stop();
    }

    @Test
    void anAlteredOrTruncatedBodyIsRejected() {
        HttpCalls.TextResponse response = http.send(get("/a?bytes=300").header(Headers.REQUEST_ID, "r1"));
        byte[] body = response.text().getBytes(StandardCharsets.ISO_8859_1);
        assertThat(body.length).isGreaterThan(100);
        byte[] encoded = new EchoResponseBody("/a", "r1", "", "0-0", "e1", 1, 300).encode();
        assertThat(EchoResponseBody.parse(encoded).orElseThrow().requestId()).isEqualTo("r1");
        assertThat(EchoResponseBody.parse(java.util.Arrays.copyOf(encoded, encoded.length - 1)))
                .isEmpty();
        encoded[encoded.length - 1]++;
        assertThat(EchoResponseBody.parse(encoded)).isEmpty();
    }

    @Test
    void runsAreCountedPerTicketAndPeaksPerEndpoint() {
        CompletableFuture<?> first = CompletableFuture.runAsync(() -> http.send(post("/slow/1")));
        CompletableFuture<?> second = CompletableFuture.runAsync(() -> http.send(post("/slow/1")));
        CompletableFuture.allOf(first, second).join();
        assertThat(upstream.atMostOnceRuns()).containsExactly("/slow/1", 2);
        assertThat(http.get(control + "/runs?kind=ticket&key=t1")
                        .json()
                        .path("runs")
                        .asInt())
                .isEqualTo(2);
        EndpointStatistics statistics = upstream.statistics().get(0);
        assertThat(statistics.peakInFlight()).isEqualTo(2);
        assertThat(statistics.overSlots()).isEqualTo(1);
    }

    @Test
    void aRunIsCountedEvenIfItsResponseIsDropped() {
        http.post(control + "/faults?dropAnswers=1");
        assertThrows(UncheckedIOException.class, () -> http.send(post("/book/1")));
        assertThat(upstream.atMostOnceRuns()).containsExactly("/book/1", 1);
    }

    @Test
    void aTruncatedBodyIsAnErrorAndNotAShortResponse() {
        http.post(control + "/faults?cutBodies=2");
        assertThrows(UncheckedIOException.class, () -> http.get(url + "/download/x?bytes=100000"));
        assertThrows(UncheckedIOException.class, () -> http.get(url + "/a"));
    }

    @Test
    void aSheddingEndpointRefusesWithoutRunning() {
        http.post(control + "/faults?shed=true");
        CompletableFuture<?> running = CompletableFuture.runAsync(() -> http.send(post("/slow/1")));
        awaitInFlight(1);
        HttpCalls.TextResponse refused = http.send(post("/b"));
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.header("carawaylift-not-run")).hasValue("true");
        running.join();
        assertThat(upstream.atMostOnceRuns()).containsExactly("/slow/1", 1);
    }

    @Test
    void aDisconnectEndsAnIdempotentRunAndNotAnAtMostOnceRun() {
        HttpCalls clientWithShortTimeout = new HttpCalls(150);
        http.post(control + "/faults?slowFactor=4");
        assertThrows(UncheckedIOException.class, () -> clientWithShortTimeout.send(get("/slow/1")));
        awaitInFlight(0);
        assertThat(upstream.statistics().get(0).cancelled()).isEqualTo(1);
        assertThrows(UncheckedIOException.class, () -> clientWithShortTimeout.send(post("/slow/2")));
        assertThat(upstream.statistics().get(0).inFlight()).isEqualTo(1);
        awaitInFlight(0);
        assertThat(upstream.statistics().get(0).answered()).isEqualTo(1);
    }

    @Test
    void aDownloadCanBeResumed() {
        String etag = http.get(url + "/download/x?bytes=1000").header("etag").orElseThrow();
        HttpCalls.TextResponse rest = http.send(
                get("/download/x?bytes=1000").header("Range", "bytes=400-").header("If-Range", etag));
        assertThat(rest.status()).isEqualTo(206);
        assertThat(rest.header("content-range")).hasValue("bytes 400-999/1000");
        assertThat(rest.header("content-length")).hasValue("600");
        assertThat(new PatternContent("/download/x").etag()).isEqualTo(etag);
    }

    private Request.Builder get(String uri) {
        return new Request.Builder().url(url + uri);
    }

    private Request.Builder post(String uri) {
        return get(uri).header(Headers.TICKET, "t1").post(RequestBody.create(new byte[] {1}));
    }

    private void awaitInFlight(int number) {
        long end = System.nanoTime() + 5_000_000_000L;
        while (upstream.statistics().get(0).inFlight() != number) {
            assertThat(System.nanoTime()).isLessThan(end);
            Thread.onSpinWait();
        }
    }
}
