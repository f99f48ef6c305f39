package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static io.carawaylift.standin.ScriptedEndpoint.write;

import io.carawaylift.host.OutboundCalls.Result;
import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Responses over real sockets that violate the syntax of HTTP: none is a success. */
final class InvalidResponseTest {
    private static final String ID = "X-Request-Id: id\r\nX-Response-Signature: s\r\n";
    private static final String FOUR = "Content-Length: 4\r\n\r\nbody";
    private static final String OK = "HTTP/1.1 200 OK\r\n" + ID;

    static List<String> invalidResponses() {
        List<String> responses = new ArrayList<>();
        for (String start : List.of(
                "HTTP/1.1 000 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 999 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 200x OK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200 OK",
                " HTTP/1.1 200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/1.7 200 OK",
                "ICY/1.1 200 OK",
                "xHTTP/1.1 200 OK",
                "HTTP/1.1 101 OK",
                "HTTP/1.1 200 O\rK",
                "HTTP/1.1 200 O\0K",
                "\r\nHTTP/1.1 200 OK",
                "HTTP/1.1 200 OK\n" + "X-After-Bare-Line-Feed: 1",
                "00000000000000000000000 200 OK")) {
            responses.add(start + "\r\n" + ID + FOUR);
        }
        for (int next = 0; next <= ' '; next++) {
            responses.add(OK + "X-A" + (char) next + "B: 1\r\n" + FOUR);
        }
        for (char next : "\u007f\u0080\u00ff\"(),/;<=>?@[\\]{}".toCharArray()) {
            responses.add(OK + "X-A" + next + "B: 1\r\n" + FOUR);
        }
        for (String field : List.of(
                "X-A : 1",
                " X-A: 1",
                "X-A",
                ": 1",
                "X-A: 1\r\n folded",
                "X-A: 1\r\n\tfolded",
                "X-A: a\rb",
                "X-A: a\0b",
                "X-A: a\u007fb",
                "X-A: 1\nX-B: 2",
                "Transfer-Encoding: chunked",
                "Transfer-Encoding: gzip",
                "Content-Length: 4",
                "Content-Length: 5")) {
            responses.add(OK + field + "\r\n" + FOUR);
        }
        for (String length :
                List.of("+4", "-4", "4,4", "0x4", "4 4", "", "99999999999999999999", "18446744073709551620")) {
            responses.add(OK + "Content-Length: " + length + "\r\n\r\nbody");
        }
        for (String coding : List.of(
                "gzip", "gzip, chunked", "chunked, chunked", "identity", "chunked\r\nTransfer-Encoding: chunked")) {
            responses.add(OK + "Transfer-Encoding: " + coding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
        }
        for (String chunks : List.of(
                "100000004\r\nbody\r\n0\r\n\r\n",
                "ffffffff00000004\r\nbody\r\n0\r\n\r\n",
                "-4\r\nbody\r\n0\r\n\r\n",
                "4x\r\nbody\r\n0\r\n\r\n",
                "0x4\r\nbody\r\n0\r\n\r\n",
                "\r\nbody\r\n0\r\n\r\n",
                "4\nbody\r\n0\r\n\r\n",
                "4;a\nb\r\nbody\r\n0\r\n\r\n",
                "4\r\nbodymore\r\n0\r\n\r\n",
                "4\r\nbody\n0\r\n\r\n",
                "4\r\nbody\r\n0\r\nX A: 1\r\n\r\n",
                "4\r\nbody\r\n0\r\nX-A: 1\n\r\n")) {
            responses.add(OK + "Transfer-Encoding: chunked\r\n\r\n" + chunks);
        }
        responses.add("HTTP/1.0 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
        responses.add("HTTP/1.1 103 Early\r\nContent-Length: 4\r\n\r\n" + OK + FOUR);
        responses.add("HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n" + OK + FOUR);
        responses.add("HTTP/1.1 099 Early\r\n\r\n" + OK + FOUR);
        responses.add(OK + "X-Not-Executed: 1\r\n" + FOUR);
        return responses;
    }

    private static Result call(HttpMethod method, String response) throws IOException {
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint();
                OutboundCalls calls = new OutboundCalls()) {
            endpoint.script((request, connection) -> {
                write(connection, response);
                connection.close();
            });
            int port = Integer.parseInt(endpoint.address().split(":", -1)[1]);
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            return calls.call(calls.connect(address), method, "id", 0);
        }
    }

    /** Guards against a success, or a promise that nothing ran, that is read from an invalid response. */
    @ParameterizedTest
    @MethodSource("invalidResponses")
    void anInvalidResponseLeavesTheOutcomeUnknown(String response) throws IOException {
        Result result = call(HttpMethod.POST, response);

        assertThat(result.status()).isEqualTo(0);
        assertThat(result.mayHaveRun()).isTrue();
    }

    static List<String> validResponses() {
        return List.of(
                "HTTP/1.1 200 \r\n" + ID + FOUR,
                "HTTP/1.1 200\r\n" + ID + FOUR,
                "HTTP/1.1 200 d\u00e9j\u00e0\tvu\r\n" + ID + "X-A: \u00e9\t\"(),/;<=>?@[]{}\r\nx-!#$%&'*+-.^_`|~9:\r\n"
                        + FOUR,
                OK + "Transfer-Encoding:  Chunked \r\n\r\n04;a=\"b\"\r\nbody\r\n000\r\nX-Trailer: 1\r\n\r\n",
                OK + "\r\nbody",
                "HTTP/1.0 200 OK\r\n" + ID + "\r\nbody",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + OK + FOUR);
    }

    /** Guards against valid responses, also rare ones, that are refused. */
    @ParameterizedTest
    @MethodSource("validResponses")
    void aValidResponseIsDelivered(String response) throws IOException {
        assertThat(call(HttpMethod.POST, response)).isEqualTo(new Result(200, "body", true));
    }

    /** Guards against a wait for a body that such responses do not have. */
    @Test
    void aResponseWithoutABodyEndsWithItsHead() throws IOException {
        assertThat(call(HttpMethod.HEAD, OK + "Content-Length: 4\r\n\r\n").status())
                .isEqualTo(200);
        assertThat(call(HttpMethod.HEAD, OK + "Transfer-Encoding: chunked\r\n\r\n")
                        .status())
                .isEqualTo(200);
        assertThat(call(HttpMethod.POST, "HTTP/1.1 204 No\r\n" + ID + "\r\n").status())
                .isEqualTo(204);
        assertThat(call(HttpMethod.POST, "HTTP/1.1 304 No\r\n" + ID + "Content-Length: 4\r\n\r\n")
                        .status())
                .isEqualTo(304);
    }

    /** Guards against a response that is valid up to any byte and then ends: it is no response. */
    @Test
    void aResponseWithAnInformationalOneIsIncompleteUpToItsLastByte() throws IOException {
        String whole = "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + OK + FOUR;
        for (int length = 0; length < whole.length(); length += 3) {
            assertWithMessage("cut after %s bytes", length)
                    .that(call(HttpMethod.POST, whole.substring(0, length)).status())
                    .isEqualTo(0);
        }
    }

    /**
     * Guards against an invalid response that the caller gets as a success or as "not run", that an operator cannot see,
     * or that disturbs another exchange with the same endpoint.
     */
    @Test
    void theCallerOfAnInvalidResponseGetsAnUnknownOutcomeAndOthersTheirResponses() throws IOException {
        try (HostFixture fixture = new HostFixture()) {
            fixture.configure(1);
            ScriptedEndpoint endpoint = fixture.addEndpoint("e-1");
            fixture.awaitLine("endpoint.listed", "e-1");
            fixture.awaitLine("configuration.in_force");
            HostFixture.await(() -> isReady(fixture));
            endpoint.script((request, connection) -> {
                if (request.id().equals("invalid")) {
                    write(connection, "HTTP/1.1 000 OK\r\nX-Request-Id: invalid\r\nX-Response-Signature: s\r\n" + FOUR);
                } else {
                    Thread.sleep(300);
                    ScriptedEndpoint.respondOk(request, connection);
                }
            });
            try (RawCaller slow = fixture.caller();
                    RawCaller caller = fixture.caller()) {
                slow.send("POST", "/unsafe/1", "slow", "");
                RawCaller.Response response = caller.call("POST", "/unsafe/1", "invalid");

                assertThat(response.status()).isEqualTo(502);
                assertThat(response.header("X-Response-Signature")).isNull();
                assertThat(slow.read().body()).isEqualTo("body of slow");
            }
            fixture.awaitLine(
                    "message.invalid", "\"kind\":\"endpoint\"", endpoint.address(), "HTTP/1.1 000 OK", "100 to 599");
        }
    }

    private static boolean isReady(HostFixture fixture) {
        try {
            return fixture.readiness() == 200;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
