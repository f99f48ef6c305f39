package io.carawaylift.testing.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import io.carawaylift.testing.http.HttpCalls;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against errors in the simulated object API and its faults, on which many other tests rely. */
final class SimulatedPlatformTest {
    private final HttpCalls http = new HttpCalls(1_000);
    private final SimulatedPlatform platform = new SimulatedPlatform("127.0.0.1", 0, 0);
    private String url;
    private String control;

    @BeforeEach
    void start() {
        platform.start();
        url = "http://127.0.0.1:" + platform.port();
        control = "http://127.0.0.1:" + platform.controlPort();
    }

    @AfterEach
    void stop() {
        platform.stop();
    }

    @Test
    void anUpdateOfAnOldVersionIsRefused() {
        String first = write("a", "{}", "If-None-Match", "*").header("etag").orElseThrow();
        assertThat(write("a", "{}", "If-None-Match", "*").status()).isEqualTo(412);
        String second = write("a", "[1]", "If-Match", first).header("etag").orElseThrow();
        assertThat(second).isNotEqualTo(first);
        assertThat(write("a", "[2]", "If-Match", first).status()).isEqualTo(412);
        assertThat(http.get(url + "/objects/a").text()).isEqualTo("[1]");
        assertThat(http.get(control + "/calls").json().path("conflict").asInt()).isEqualTo(2);
    }

    @Test
    void aWatchReturnsTheChangeOrAnEmptyListAfterItsTimeout() {
        JsonNode empty = http.get(url + "/changes?prefix=a&after=0&wait=0").json();
        assertThat(empty.path("changes")).isEmpty();
        CompletableFuture<JsonNode> waiting = CompletableFuture.supplyAsync(() -> new HttpCalls(10_000)
                .get(url + "/changes?prefix=b&after=0&wait=8")
                .json());
        write("a/1", "1", "If-None-Match", "*");
        write("b/1", "1", "If-None-Match", "*");
        JsonNode change = waiting.join().path("changes").path(0);
        assertThat(change.path("name").asText()).isEqualTo("b/1");
        assertThat(change.path("version").asLong()).isGreaterThan(0);
    }

    @Test
    void aWriteIsAppliedEvenIfItsResponseIsLost() {
        http.post(control + "/faults?loseAnswers=1");
        assertThrows(UncheckedIOException.class, () -> write("a", "7", "If-None-Match", "*"));
        assertThat(http.get(url + "/objects/a").text()).isEqualTo("7");
        assertThat(write("b", "8", "If-None-Match", "*").status()).isEqualTo(200);
    }

    @Test
    void anUnavailablePlatformRefusesOrIgnoresCallsAndKeepsItsObjects() {
        write("a", "7", "If-None-Match", "*");
        for (String mode : new String[] {"refuse", "silent"}) {
            http.post(control + "/faults?mode=" + mode);
            assertThrows(UncheckedIOException.class, () -> http.get(url + "/objects/a"));
            http.post(control + "/faults?mode=up");
            assertThat(http.get(url + "/objects/a").text()).isEqualTo("7");
        }
    }

    @Test
    void repeatedEventsIncludeEarlierChanges() {
        write("a/1", "1", "If-None-Match", "*");
        long seen = http.get(url + "/objects?prefix=a/").json().path("revision").asLong();
        write("a/2", "1", "If-None-Match", "*");
        http.post(control + "/faults?repeatEvents=true");
        JsonNode changes =
                http.get(url + "/changes?prefix=a/&after=" + seen + "&wait=1").json();
        assertThat(changes.path("changes").findValuesAsText("name")).containsExactly("a/2", "a/1", "a/2");
    }

    private HttpCalls.TextResponse write(String name, String value, String header, String condition) {
        return http.put(url + "/objects/" + name, value.getBytes(StandardCharsets.UTF_8), header, condition);
    }
}
