package io.carawaylift.testing.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.testing.http.HttpCalls;
import io.carawaylift.testing.upstream.EndpointStatistics;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Client of the control interfaces of the processes that simulate the endpoints. */
public final class UpstreamProcesses {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpCalls http = new HttpCalls(TIMEOUT_MILLIS);
    private final List<String> controlUrls;

    UpstreamProcesses(List<String> controlUrls) {
        this.controlUrls = List.copyOf(controlUrls);
    }

    /** Returns the statistics of all endpoints. */
    public List<EndpointStatistics> statistics() {
        List<EndpointStatistics> all = new ArrayList<>();
        for (String url : controlUrls) {
            JsonNode page = http.get(url + "/statistics").json();
            if (page.path("runCountsOverflowed").asBoolean()) {
                throw new IllegalStateException("the run counts of " + url + " overflowed");
            }
            page.path("endpoints").forEach(endpoint -> all.add(read(endpoint)));
        }
        return all;
    }

    /** Returns the number of runs per upstream. */
    public Map<String, Long> runsByUpstream() {
        Map<String, Long> runs = new TreeMap<>();
        statistics().forEach(endpoint -> runs.merge(endpoint.upstream(), endpoint.runs(), Long::sum));
        return runs;
    }

    /**
     * Returns the number of runs per path, summed over all processes; {@code kind} is {@code once} or {@code
     * repeatable}.
     */
    public Map<String, Integer> runs(String kind) {
        Map<String, Integer> runs = new TreeMap<>();
        for (String url : controlUrls) {
            JsonNode page = http.get(url + "/runs?kind=" + kind).json();
            page.properties()
                    .forEach(
                            entry -> runs.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
        }
        return runs;
    }

    /** Resets the peaks and the run counts of idempotent requests. */
    public void reset() {
        controlUrls.forEach(url -> http.post(url + "/reset"));
    }

    /** Sets faults, for example {@code upstream=u&leaving=true}, in all processes. */
    public void setFaults(String query) {
        controlUrls.forEach(url -> http.post(url + "/faults?" + query));
    }

    private static EndpointStatistics read(JsonNode endpoint) {
        try {
            return JSON.treeToValue(endpoint, EndpointStatistics.class);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot read endpoint statistics " + endpoint, e);
        }
    }
}
