package io.carawaylift.host;

import static com.google.common.truth.Truth.assertWithMessage;
import static io.carawaylift.standin.ScriptedEndpoint.notRun;
import static io.carawaylift.standin.ScriptedEndpoint.write;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A host in front of an endpoint that writes a refusal once more on the same connection. */
final class RepeatedRefusalTest {
    /** Long enough for a response to reach the host. */
    private static final int PAUSE_MILLIS = 60;

    private HostFixture fixture;
    private ScriptedEndpoint endpoint;

    @BeforeEach
    void start() throws IOException {
        fixture = new HostFixture();
        fixture.configure(1);
        endpoint = fixture.addEndpoint("e-1");
        fixture.awaitLine("endpoint.listed", "e-1");
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

    /**
     * Guards against "not run, try again" for a request that the endpoint runs, and against a second run, when the
     * refusal of an earlier request comes again before or after the next request is sent.
     */
    @ParameterizedTest(name = "status {0}, echoes an id: {1}, before the next request: {2}")
    @CsvSource({
        "503,true,true", "503,true,false", "503,false,true", "503,false,false",
        "429,true,true", "429,true,false", "429,false,true", "429,false,false",
        "421,true,true", "421,true,false", "421,false,true", "421,false,false",
        "400,true,true", "400,true,false", "400,false,true", "400,false,false"
    })
    void aRunningRequestIsNotAnsweredWithTheRefusalOfAnother(int status, boolean echoed, boolean before)
            throws Exception {
        String refusal = echoed
                ? notRun(status).replace("X-Not-Executed", "X-Request-Id: id-1\r\nX-Not-Executed")
                : notRun(status);
        endpoint.script((request, connection) -> {
            if (request.id().equals("id-1")) {
                write(connection, refusal);
                if (before) {
                    Thread.sleep(PAUSE_MILLIS);
                    write(connection, refusal);
                }
            } else {
                if (!before) {
                    write(connection, refusal);
                }
                Thread.sleep(PAUSE_MILLIS);
                ScriptedEndpoint.respondOk(request, connection);
            }
        });
        try (RawCaller caller = fixture.caller()) {
            caller.call("POST", "/unsafe/1", "id-1");
        }
        Thread.sleep(2 * PAUSE_MILLIS);
        RawCaller.Response response;
        try (RawCaller caller = fixture.caller()) {
            response = caller.call("POST", "/unsafe/2", "id-2");
        }

        assertWithMessage("status").that(response.status()).isAnyOf(200, 502);
        assertWithMessage("runs")
                .that(endpoint.requests().stream()
                        .filter(request -> request.id().equals("id-2"))
                        .count())
                .isEqualTo(1);
        boolean onTheSameConnection = endpoint.requests().get(1).connection()
                == endpoint.requests().get(0).connection();
        assertWithMessage("on the same connection").that(onTheSameConnection).isEqualTo(!before);
    }
}
