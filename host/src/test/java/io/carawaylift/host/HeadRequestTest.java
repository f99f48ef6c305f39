package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Responses to HEAD, which end with their heads whoever sends them. */
final class HeadRequestTest {
    private static final String HEAD_START = "HEAD /unsafe/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: head\r\n";

    private HostFixture fixture;
    private ScriptedEndpoint endpoint;

    @BeforeEach
    void start() throws IOException {
        fixture = new HostFixture();
        fixture.configure(1);
        endpoint = fixture.addEndpoint("e-1");
        fixture.awaitLine("endpoint.listed", "e-1");
        fixture.awaitLine("configuration.in_force");
        fixture.awaitReady();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Guards against a body behind the head of a refusal, which callers take for the next response. */
    @Test
    void aRefusalOfAHeadRequestHasNoBodyAndTheNextResponseIsReadable() throws IOException {
        try (RawCaller caller = fixture.caller()) {
            caller.send("HEAD", "/no-such-route", "head", "");
            RawCaller.Response refused = caller.readHead();
            assertThat(refused.status()).isEqualTo(404);
            assertThat(refused.header("Content-Length")).isNotEqualTo("0");

            RawCaller.Response next = caller.call("POST", "/unsafe/1", "booking");
            assertThat(next.status()).isEqualTo(200);
            assertThat(next.body()).isEqualTo("body of booking");
        }
    }

    /** Guards against the same when a caller does not wait for the response to HEAD. */
    @Test
    void requestsBehindARefusedHeadRequestAreAnsweredInTheirOrder() throws IOException {
        try (RawCaller caller = fixture.caller()) {
            caller.send("HEAD", "/no-such-route", "head", "");
            caller.send("GET", "/no-such-route", "get", "");
            caller.send("POST", "/unsafe/1", "booking", "");

            assertThat(caller.readHead().status()).isEqualTo(404);
            assertThat(caller.read().body()).contains("\"code\"");
            assertThat(caller.read().body()).isEqualTo("body of booking");
        }
    }

    /** Guards against bytes behind the last response of a connection when a HEAD request cannot be read whole. */
    @Test
    void anInvalidHeadRequestIsRefusedWithoutABody() throws IOException {
        for (String invalid : List.of(
                "X A: 1\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\nbody",
                "Transfer-Encoding: chunked\r\n\r\nx\r\n",
                "X-Long: " + "x".repeat(100_000) + "\r\n\r\n")) {
            try (RawCaller caller = fixture.caller()) {
                caller.sendRaw(HEAD_START + invalid);
                assertWithMessage(invalid).that(caller.readHead().status()).isIn(List.of(400, 431));
                assertWithMessage(invalid).that(caller.closesWithoutData()).isTrue();
            }
        }
        assertThat(endpoint.requests()).isEmpty();
    }

    /** Guards against a refusal that lost its body although the HEAD request was the one before. */
    @Test
    void anInvalidRequestBehindAHeadRequestIsRefusedWithABody() throws IOException {
        try (RawCaller caller = fixture.caller()) {
            caller.send("HEAD", "/no-such-route", "head", "");
            assertThat(caller.readHead().status()).isEqualTo(404);
            caller.sendRaw("GET /unsafe/1 HTTP/1.1\r\nX A: 1\r\n\r\n");
            assertThat(caller.read().body()).contains("\"code\"");
        }
    }
}
