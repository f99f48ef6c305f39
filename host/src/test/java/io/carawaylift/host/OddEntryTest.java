package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import java.io.IOException;
import java.util.regex.Matcher;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Entries of another writer among those of the endpoints. */
final class OddEntryTest {
    private static final String SERVERS = "servers";

    private HostFixture first;
    private HostFixture second;
    private ScriptedEndpoint sound;

    @BeforeEach
    void start() throws IOException {
        first = new HostFixture();
        sound = first.addEndpoint("e-1");
        first.configure(1);
        second = new HostFixture(first.store(), "host-2");
        HostFixture.await(() -> isReady(first) && isReady(second));
    }

    @AfterEach
    void stop() throws IOException {
        second.close();
        first.close();
    }

    private static boolean isReady(HostFixture host) {
        try {
            return host.readiness() == 200;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static String entry(String field, String value) {
        String fields = """
                {"service":"service","address":"127.0.0.1:9","zone":"zone-a","version":"v1","maxConcurrency":4,
                "state":"ready","coldRemainingMs":0,"sequence":1,"born":1,"other":1}""";
        return fields.replaceAll(
                "\"" + field + "\":(\"[^\"]*\"|[0-9]+)", Matcher.quoteReplacement("\"" + field + "\":" + value));
    }

    private static String nested(int levels) {
        return entry("other", "[".repeat(levels) + "]".repeat(levels));
    }

    static Stream<Arguments> oddEntries() {
        return Stream.of(
                Arguments.of("nested 900 times", nested(900)),
                Arguments.of("nested 1,500 times", nested(1500)),
                Arguments.of("nested 300,000 times", nested(300_000)),
                Arguments.of(
                        "objects nested 100,000 times",
                        entry("other", "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000))),
                Arguments.of("a number of 5,000 digits", entry("born", "9".repeat(5000))),
                Arguments.of("a number of 300,000 digits", entry("other", "9".repeat(300_000))),
                Arguments.of("slots beyond an int", entry("maxConcurrency", "4294967300")),
                Arguments.of("slots of a billion", entry("maxConcurrency", "1000000000")),
                Arguments.of("a start beyond a long", entry("born", "18446744073709551617")),
                Arguments.of("a cold time beyond a double", entry("coldRemainingMs", "1e999")),
                Arguments.of("a port out of range", entry("address", "\"127.0.0.1:99999\"")),
                Arguments.of("a negative port", entry("address", "\"127.0.0.1:-1\"")),
                Arguments.of("the name of a host", entry("address", "\"no-such-host.example:80\"")),
                Arguments.of(
                        "half of a character", entry("service", "\"\\ud800\"").replace("ready", "other")),
                Arguments.of("256 values that are no JSON", entry("other", "[" + "NaN,".repeat(255) + "NaN]")),
                Arguments.of("200,000 values that are no JSON", entry("other", "[" + "x,".repeat(200_000) + "x]")),
                Arguments.of("350,000 objects", entry("other", "[" + "{},".repeat(350_000) + "{}]")),
                Arguments.of("text that is no JSON", "service: other"),
                Arguments.of("a control character", entry("other", "\u0001")),
                Arguments.of("a string without an end", entry("other", "\"x")),
                Arguments.of("an object without an end", "{\"service\":\"service\""),
                Arguments.of("an object with two ends", entry("other", "1") + "}"),
                Arguments.of("an array that ends as an object", entry("other", "[1}")),
                Arguments.of("an unknown escape", entry("other", "\"\\x\"")));
    }

    /**
     * Guards against a host that no longer follows the endpoints, ends or uses an endpoint that is none, because of one
     * entry; on the host that reads it, on one that learns it from that host, and after a restart.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("oddEntries")
    void anOddEntryIsSetAsideAndTheOthersAreFollowed(String oddity, String specification) throws IOException {
        first.store().putRaw(SERVERS, "e-0", specification);
        first.awaitLine("endpoint.entry_ignored", "e-0");
        second.awaitLine("endpoint.entry_ignored", "e-0");
        first.addEndpoint("e-2");
        first.awaitLine("endpoint.listed", "e-2");
        second.awaitLine("endpoint.listed", "e-2");
        second.close();
        second = new HostFixture(first.store(), "host-2");
        second.awaitLine("endpoint.listed", "e-2");
        HostFixture.await(() -> isReady(second));

        for (HostFixture host : new HostFixture[] {first, second}) {
            assertThat(host.metric("carawaylift_endpoints_ignored")).isEqualTo(1);
            assertThat(host.metric("carawaylift_endpoints")).isEqualTo(2);
            assertWithMessage(oddity).that(host.hasLine("\"event\":\"fault\"")).isFalse();
            assertWithMessage(oddity)
                    .that(host.hasLine("dependency.lost", "store"))
                    .isFalse();
            try (RawCaller caller = host.caller()) {
                assertThat(caller.call("GET", "/safe/1", "id").status()).isEqualTo(200);
            }
        }
    }

    /** Guards against requests to an endpoint whose entry was replaced by one that names no endpoint. */
    @Test
    void anEndpointWhoseEntryIsReplacedByAnOddOneIsNotUsed() throws IOException {
        first.addEndpoint("e-2");
        first.awaitLine("endpoint.listed", "e-2");
        first.store().putRaw(SERVERS, "e-1", nested(1500));
        first.awaitLine("endpoint.removed", "e-1");
        int before = sound.requests().size();
        try (RawCaller caller = first.caller()) {
            for (int i = 0; i < 10; i++) {
                assertThat(caller.call("GET", "/safe/" + i, "id-" + i, "X-Affinity-Key: k" + i)
                                .status())
                        .isEqualTo(200);
            }
        }
        assertThat(sound.requests()).hasSize(before);
        first.listEndpoint("e-1", sound, "ready");

        HostFixture.await(() -> first.metric("carawaylift_endpoints") == 2);
    }
}
