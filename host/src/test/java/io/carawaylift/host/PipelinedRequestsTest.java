package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;
import static io.carawaylift.standin.ScriptedEndpoint.ok;
import static io.carawaylift.standin.ScriptedEndpoint.write;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that a caller sends before it has the responses to the previous ones. */
final class PipelinedRequestsTest {
    private static final long PAUSE_MILLIS = 300;

    private final CountDownLatch slowMayEnd = new CountDownLatch(1);
    private HostFixture fixture;
    private ScriptedEndpoint first;
    private ScriptedEndpoint second;

    @BeforeEach
    void start() throws IOException {
        fixture = new HostFixture();
        fixture.configure(1, "service", 8000);
        first = fixture.addEndpoint("e-1");
        second = fixture.addEndpoint("e-2");
        fixture.awaitLine("endpoint.listed", "e-2");
        fixture.awaitLine("configuration.in_force");
        HostFixture.await(() -> {
            try {
                return fixture.readiness() == 200;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        script((request, connection) -> {
            if (request.id().startsWith("slow")) {
                slowMayEnd.await();
            }
            ScriptedEndpoint.respondOk(request, connection);
        });
    }

    @AfterEach
    void stop() throws IOException {
        slowMayEnd.countDown();
        fixture.close();
    }

    private void script(ScriptedEndpoint.Script script) {
        first.script(script);
        second.script(script);
    }

    private int runs() {
        return first.requests().size() + second.requests().size();
    }

    private static String request(String method, String target, String id, String... headers) {
        StringBuilder text = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text + "X-Request-Id: " + id + "\r\n\r\n";
    }

    private static String safe(String id, String... headers) {
        return request("GET", "/safe/1", id, headers);
    }

    private static String unsafe(String id, String... headers) {
        return request("POST", "/unsafe/1", id, headers);
    }

    private static void assertClosedAfter(RawCaller caller, String... ids) throws IOException {
        for (int i = 0; i < ids.length; i++) {
            RawCaller.Response response = caller.read();
            assertThat(response.body()).isEqualTo("body of " + ids[i]);
            assertThat(response.header("Connection")).isEqualTo(i == ids.length - 1 ? "close" : null);
        }
        assertThat(caller.closesWithoutData()).isTrue();
    }

    /** Guards against a safe request that waits for a slow one, and against responses in the order of their arrival. */
    @Test
    void safeRequestsRunBesideEachOtherAndAreAnsweredInTheirOrder() throws IOException {
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(safe("slow") + safe("b") + safe("c"));
            fixture.awaitLine("\"event\":\"request\"", "\"id\":\"c\"");
            assertThat(runs()).isEqualTo(3);
            slowMayEnd.countDown();

            assertThat(caller.read().body()).isEqualTo("body of slow");
            assertThat(caller.read().body()).isEqualTo("body of b");
            assertThat(caller.read().body()).isEqualTo("body of c");
        }
    }

    /** Guards against an operation that overtakes another one of the same caller. */
    @Test
    void anUnsafeRequestWaitsForTheSafeOneBefore() throws Exception {
        assertSecondWaits(safe("slow") + unsafe("b"));
    }

    /** Guards against a read that overtakes an operation of the same caller. */
    @Test
    void aSafeRequestWaitsForTheUnsafeOneBefore() throws Exception {
        assertSecondWaits(unsafe("slow") + safe("b"));
    }

    private void assertSecondWaits(String text) throws Exception {
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(text);
            HostFixture.await(() -> runs() == 1);
            Thread.sleep(PAUSE_MILLIS);
            assertThat(runs()).isEqualTo(1);
            slowMayEnd.countDown();

            assertThat(caller.read().body()).isEqualTo("body of slow");
            assertThat(caller.read().body()).isEqualTo("body of b");
        }
    }

    /**
     * Guards against a request that runs although its caller must take it as not read, and against a reset by unread
     * bytes that costs the caller the response.
     */
    @Test
    void requestsBehindTheLastOneDoNotRunAndTheResponseArrives() throws Exception {
        String behind = unsafe("behind").repeat(2000);
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(unsafe("slow") + unsafe("last", "Connection: close") + behind);
            HostFixture.await(() -> runs() == 1);
            slowMayEnd.countDown();
            fixture.awaitLine("\"event\":\"request\"", "\"id\":\"last\"");
            caller.sendRaw(behind);
            Thread.sleep(PAUSE_MILLIS);

            assertClosedAfter(caller, "slow", "last");
        }
        assertThat(runs()).isEqualTo(2);
    }

    /** Guards against the same for a request that is refused before it was read whole. */
    @Test
    void theRefusalOfALongBodyArrivesBehindTheEarlierResponse() throws Exception {
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(safe("slow")
                    + unsafe("long", "Content-Length: 3000000")
                    + "x".repeat(3_000_000)
                    + unsafe("behind"));
            slowMayEnd.countDown();
            Thread.sleep(PAUSE_MILLIS);

            assertThat(caller.read().body()).isEqualTo("body of slow");
            assertThat(caller.read().status()).isEqualTo(413);
            assertThat(caller.closesWithoutData()).isTrue();
        }
        assertThat(runs()).isEqualTo(1);
    }

    /** Guards against memory and slots without a limit for a caller that sends many requests at once. */
    @Test
    void theRequestsOfAConnectionAreLimitedAndNoneIsLost() throws Exception {
        int requests = 400;
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            text.append(safe((i < 4 ? "slow-" : "id-") + i));
        }
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(text.toString());
            HostFixture.await(() -> fixture.metric("carawaylift_callers_requests") == 16);
            Thread.sleep(PAUSE_MILLIS);
            assertThat(runs()).isEqualTo(4);
            assertThat(fixture.metric("carawaylift_callers_requests")).isEqualTo(16);
            slowMayEnd.countDown();
            for (int i = 0; i < requests; i++) {
                assertThat(caller.read().body()).isEqualTo("body of " + (i < 4 ? "slow-" : "id-") + i);
            }
        }
        HostFixture.await(() -> fixture.metric("carawaylift_callers_requests") == 0);
        assertThat(fixture.metric("carawaylift_callers_held_bytes")).isEqualTo(0);
    }

    /** Guards against a caller that does not read its responses and takes the memory of all others. */
    @Test
    void unreadResponsesAreBoundedAndNoneIsLost() throws Exception {
        int requests = 200;
        int length = 400_000;
        script((request, connection) ->
                write(connection, ok(request.id(), request.id().startsWith("id") ? "x".repeat(length) : "small")));
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            text.append(request("GET", "/download/1", "id-" + i));
        }
        try (RawCaller caller = fixture.caller();
                RawCaller other = fixture.caller()) {
            caller.sendRaw(text.toString());
            double max = 0;
            for (int i = 0; i < 20; i++) {
                Thread.sleep(50);
                max = Math.max(max, fixture.metric("carawaylift_callers_held_bytes_max"));
                assertThat(other.call("GET", "/safe/1", "other-" + i).body()).isEqualTo("small");
            }
            // The limit, and the responses that were in progress when it was reached.
            assertThat(max).isAtLeast(1e6);
            assertThat(max).isAtMost(1024 * 1024 + 4 * length + 100_000);
            for (int i = 0; i < requests; i++) {
                RawCaller.Response response = caller.read();
                assertThat(response.header("X-Request-Id")).isEqualTo("id-" + i);
                assertThat(response.body()).hasLength(length);
            }
        }
    }

    /** Guards against requests of a caller that has left, and against counts that do not return to zero. */
    @Test
    void requestsOfAClosedConnectionEndWithIt() throws Exception {
        RawCaller caller = fixture.caller();
        caller.sendRaw(safe("slow-1") + safe("slow-2") + unsafe("behind") + "POST /unsafe/1 HTTP/1.1\r\nContent-Le");
        HostFixture.await(() -> runs() == 2);
        caller.close();
        fixture.awaitLine("\"event\":\"request\"", "slow-1", "the caller disconnected");
        fixture.awaitLine("\"event\":\"request\"", "slow-2", "the caller disconnected");
        slowMayEnd.countDown();
        Thread.sleep(PAUSE_MILLIS);

        assertThat(runs()).isEqualTo(2);
        assertThat(fixture.metric("carawaylift_callers_requests")).isEqualTo(0);
        assertThat(fixture.metric("carawaylift_callers_held_bytes")).isEqualTo(0);
        assertThat(fixture.metric("carawaylift_requests_open")).isEqualTo(0);
        assertThat(fixture.metric("carawaylift_buffers_bytes")).isEqualTo(0);
    }

    /** Guards against requests that go on for a caller that left while the limit of its connection was reached. */
    @Test
    void aCallerThatLeavesAtTheLimitOfItsConnectionIsNoticed() throws Exception {
        try (RawCaller caller = fixture.caller()) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < 16; i++) {
                text.append(safe("slow-" + i));
            }
            caller.sendRaw(text.toString());
            HostFixture.await(() -> fixture.metric("carawaylift_callers_requests") == 16);
        }
        HostFixture.await(() -> fixture.metric("carawaylift_requests_open") == 0);
        assertThat(slowMayEnd.getCount()).isEqualTo(1);
    }

    /** Guards against bytes that stay counted after a connection with requests held back was closed. */
    @Test
    void whatIsHeldBackIsReleasedWithTheConnection() throws Exception {
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(safe("slow").repeat(400));
            HostFixture.await(() -> fixture.metric("carawaylift_callers_held_bytes") > 20_000);
        }
        slowMayEnd.countDown();
        HostFixture.await(() -> fixture.metric("carawaylift_callers_connections") == 0);

        assertThat(fixture.metric("carawaylift_callers_held_bytes")).isEqualTo(0);
        assertThat(fixture.metric("carawaylift_callers_requests")).isEqualTo(0);
        assertThat(fixture.metric("carawaylift_buffers_bytes")).isEqualTo(0);
    }

    /** Guards against lost or endless responses of the pages for a peer that sends many requests and does not read. */
    @Test
    void pipelinedRequestsForAPageAreAllAnswered() throws Exception {
        try (RawCaller caller = new RawCaller(fixture.host().readinessAddress())) {
            caller.sendRaw("GET /v1/readiness HTTP/1.1\r\n\r\n".repeat(5000));
            Thread.sleep(PAUSE_MILLIS);
            for (int i = 0; i < 5000; i++) {
                assertThat(caller.read().status()).isEqualTo(200);
            }
        }
    }

    /** Guards against an informational response that the caller takes for one to an earlier request. */
    @Test
    void aContinueWaitsForTheEarlierResponses() throws Exception {
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(safe("slow") + unsafe("body", "Expect: 100-continue", "Content-Length: 4"));
            HostFixture.await(() -> runs() == 1);
            Thread.sleep(PAUSE_MILLIS);
            slowMayEnd.countDown();
            assertThat(caller.read().body()).isEqualTo("body of slow");
            assertThat(caller.read().status()).isEqualTo(100);
            caller.sendRaw("body");
            assertThat(caller.read().body()).isEqualTo("body of body");
        }
    }

    /** Guards against responses that are held for ever for a caller that does not read. */
    @Test
    void aCallerThatDoesNotReadIsDisconnectedAfterTheIdleTimeout() throws Exception {
        fixture.store().put("config", "main", """
                {"version":2,"routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","targetLatencyMs",
                "priority","service","maxAttempts","sessionAffinity"],"rows":[["r","a.example","/download/","download",
                8000,500,1,"service",2,true]]},"services":{"columns":["name","maxConnections","coldStartS","coldPerS"],
                "rows":[["service",100,3,4]]},
                "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":700,"idleTimeoutMs":1500}}""");
        fixture.awaitLine("configuration.in_force", "\"version\":2");
        script((request, connection) -> write(connection, ok(request.id(), "x".repeat(7_000_000))));
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(request("GET", "/download/1", "id-1"));
            fixture.awaitLine("caller.stuck", "127.0.0.1");
            HostFixture.await(() -> fixture.metric("carawaylift_callers_held_bytes") == 0);
            assertThat(fixture.metric("carawaylift_buffers_bytes")).isEqualTo(0);
        }
    }
}
