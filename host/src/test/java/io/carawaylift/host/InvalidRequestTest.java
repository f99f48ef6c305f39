package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests of callers and health checks that violate the syntax of HTTP: none runs, each gets a 400. */
final class InvalidRequestTest {
    private static final String FIELDS = "Host: a.example\r\nX-Request-Id: id\r\n";
    private static final String START = "POST /unsafe/1 HTTP/1.1\r\n" + FIELDS;
    private static final String FOUR = "Content-Length: 4\r\n\r\nbody";

    private HostFixture fixture;
    private ScriptedEndpoint endpoint;

    @BeforeEach
    void start() throws IOException {
        fixture = new HostFixture();
        fixture.configure(1);
        endpoint = fixture.addEndpoint("e-1");
        fixture.awaitLine("endpoint.listed", "e-1");
        fixture.awaitLine("configuration.in_force");
        HostFixture.await(() -> {
            try {
                return fixture.readiness() == 200;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static List<String> invalidRequests() {
        List<String> requests = new ArrayList<>();
        for (String line : List.of(
                "POST /unsafe/1 HTTP/2.0",
                "POST /unsafe/1 HTTP/1.7",
                "POST  /unsafe/1 HTTP/1.1",
                "POST /unsafe/1",
                "POST /unsafe/ 1 HTTP/1.1",
                "PO(ST /unsafe/1 HTTP/1.1",
                "POST\t/unsafe/1 HTTP/1.1")) {
            requests.add(line + "\r\n" + FIELDS + FOUR);
        }
        for (String field : List.of(
                "X-A : 1",
                " X-A: 1",
                "X-A",
                ": 1",
                "X-A: 1\r\n folded",
                "X-A: a\rb",
                "X-A: a\0b",
                "X-A: 1\nX-B: 2",
                "X\0A: 1",
                "X\u007fA: 1",
                "X A: 1",
                "Host: b.example",
                "Transfer-Encoding: chunked",
                "Content-Length: 4",
                "Transfer-Encoding: gzip")) {
            requests.add(START + field + "\r\n" + FOUR);
        }
        for (String length : List.of("+4", "-4", "4,4", "", "99999999999999999999")) {
            requests.add(START + "Content-Length: " + length + "\r\n\r\nbody");
        }
        for (String body : List.of(
                "gzip\r\n\r\n",
                "gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "chunked\r\n\r\n100000004\r\nbody\r\n0\r\n\r\n",
                "chunked\r\n\r\n4\nbody\r\n0\r\n\r\n",
                "chunked\r\n\r\n4\r\nbodymore\r\n0\r\n\r\n",
                "chunked\r\n\r\n4\r\nbody\r\n0\r\nX A: 1\r\n\r\n")) {
            requests.add(START + "Transfer-Encoding: " + body);
        }
        return requests;
    }

    /** Guards against a request whose end or host is read differently by the endpoint, and one with changed fields. */
    @Test
    void anInvalidRequestIsRefusedAndDoesNotRun() throws IOException {
        for (String request : invalidRequests()) {
            try (RawCaller caller = fixture.caller()) {
                caller.sendRaw(request);
                assertWithMessage(request).that(caller.read().status()).isEqualTo(400);
                assertThat(caller.closesWithoutData()).isTrue();
            }
        }
        assertThat(endpoint.requests()).isEmpty();
    }

    /** Guards against the loss of a valid request because of an invalid one behind it. */
    @Test
    void aRequestBeforeAnInvalidOneIsServed() throws IOException {
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(START + FOUR + "\r\n" + START + "X A: 1\r\n" + FOUR);
            assertThat(caller.read().body()).isEqualTo("body of id");
            assertThat(caller.read().status()).isEqualTo(400);
            assertThat(caller.closesWithoutData()).isTrue();
        }
        assertThat(endpoint.requests()).hasSize(1);
    }

    /** Guards against secrets in the log when their field is malformed, and against an invisible refusal. */
    @Test
    void theLogSaysWhatWasExpectedWithoutTheValueOfAField() throws IOException {
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(START + "X-Credential: secret\0key\r\n\r\n");
            assertThat(caller.read().status()).isEqualTo(400);
        }
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(START + "X-Credential secretkey\r\n\r\n");
            assertThat(caller.read().status()).isEqualTo(400);
        }
        fixture.awaitLine("message.invalid", "\"kind\":\"caller\"", "127.0.0.1", "byte 0x00", "no control character");
        fixture.awaitLine("message.invalid", "without a colon");
        assertThat(fixture.log()).doesNotContain("secret");
    }

    /** Guards against a health check or lookup that hangs after an invalid request, or gets a page for it. */
    @Test
    void anInvalidRequestForAPageIsRefused() throws IOException {
        for (InetSocketAddress address :
                List.of(fixture.host().readinessAddress(), fixture.host().lookupAddress())) {
            for (String request : List.of(
                    "GARBAGE\r\n\r\n",
                    "GET /v1/readiness HTTP/1.1\r\nX A: 1\r\n\r\n",
                    "GET /v1/readiness HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n")) {
                try (RawCaller caller = new RawCaller(address)) {
                    caller.sendRaw(request);
                    assertWithMessage(request).that(caller.read().status()).isEqualTo(400);
                    assertThat(caller.closesWithoutData()).isTrue();
                }
            }
        }
        fixture.awaitLine("message.invalid", "\"kind\":\"page\"");
    }
}
