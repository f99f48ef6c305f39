package io.carawaylift.cli;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class RequestTimelineTest {
    private static final List<String> LOG_LINES = List.of(
            "{\"ts\":100,\"host\":\"h-1\",\"event\":\"started\"}",
            "{\"ts\":110,\"host\":\"h-1\",\"event\":\"configuration.in_force\",\"version\":4}",
            "{\"ts\":120,\"host\":\"h-1\",\"event\":\"endpoint.listed\",\"endpoint\":\"i-1\",\"draining\":false}",
            "{\"ts\":120,\"host\":\"h-1\",\"event\":\"endpoint.listed\",\"endpoint\":\"i-9\",\"draining\":false}",
            "{\"ts\":150,\"host\":\"h-2\",\"event\":\"endpoint.removed\",\"endpoint\":\"i-1\"}",
            "   3.2 h-1 | {\"ts\":400,\"host\":\"h-1\",\"event\":\"request\",\"id\":\"r-1\",\"route\":\"a\",\"service\":\"s\","
                    + "\"version\":4,\"object\":\"7\",\"code\":301,\"status\":502,\"ms\":90.5,"
                    + "\"steps\":\"2 ms: send to i-1 load 1.0/3; 90 ms: i-1: the connection was reset\","
                    + "\"reason\":\"the connection was reset\"}",
            "{\"ts\":500,\"host\":\"h-1\",\"event\":\"endpoint.removed\",\"endpoint\":\"i-1\"}",
            "{ not JSON");

    /** Guards against a timeline that omits known state, or includes later events or those of another host. */
    @Test
    void describesTheStepsAndTheHostStateAtThatTime() {
        String timeline = String.join("\n", new RequestTimeline(LOG_LINES.stream()).describe("r-1"));

        assertThat(timeline)
                .contains("host h-1, arrived at 310, answered after 91 ms: status 502, code 301 CONNECTION_LOST");
        assertThat(timeline).contains("2 ms: send to i-1");
        assertThat(timeline)
                .contains(
                        "280 ms before: {\"ts\":120,\"host\":\"h-1\",\"event\":\"endpoint.listed\",\"endpoint\":\"i-1\"");
        assertThat(timeline).contains("\"version\":4");
        assertThat(timeline).doesNotContain("i-9");
        assertThat(timeline).doesNotContain("endpoint.removed");
    }

    @Test
    void describesNothingForARequestThatNoHostLogged() {
        assertThat(new RequestTimeline(LOG_LINES.stream()).describe("r-2")).isEmpty();
    }
}
