package io.carawaylift.testing.upstream;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Configuration of the endpoints that one upstream process simulates; stored as a JSON file.
 *
 * @param controlPort port of the control interface
 * @param times service times by path prefix, of which the first match applies
 */
public record UpstreamPlan(
        String address, int controlPort, List<EndpointPlan> endpoints, List<ServiceTime> times, int coldRequests) {
    private static final int COLD_FACTOR = 4;
    private static final ObjectMapper JSON = new ObjectMapper();

    public UpstreamPlan {
        endpoints = List.copyOf(endpoints);
        times = List.copyOf(times);
    }

    /** Configuration of one endpoint; port 0 selects any free port. */
    public record EndpointPlan(String id, String upstream, int port, int slots, int maxConnections) {}

    /** Mean service time of requests whose path starts with the prefix; each request takes 0.5 to 1.5 times the mean. */
    public record ServiceTime(String prefix, long meanMs) {}

    /** Reads a plan; throws {@link UncheckedIOException} if that fails. */
    public static UpstreamPlan read(Path file) {
        try {
            return JSON.readValue(file.toFile(), UpstreamPlan.class);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the upstream plan " + file, e);
        }
    }

    /** Writes the plan to a file; throws {@link UncheckedIOException} if that fails. */
    public void write(Path file) {
        try {
            JSON.writeValue(file.toFile(), this);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the upstream plan " + file, e);
        }
    }

    /** Returns the service time of a request in milliseconds, which depends only on its path and on {@code cold}. */
    long serviceMs(String path, boolean cold) {
        for (ServiceTime time : times) {
            if (path.startsWith(time.prefix())) {
                long spread = Math.floorMod(path.hashCode() * 31L, time.meanMs() + 1);
                return (time.meanMs() / 2 + spread) * (cold ? COLD_FACTOR : 1);
            }
        }
        return 0;
    }
}
