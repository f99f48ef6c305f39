package io.carawaylift.testing.upstream;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;

/**
 * What one upstream process simulates; read from a JSON file.
 *
 * @param controlPort port of the statistics and the faults
 * @param times service times by path, the first matching prefix counts
 */
public record UpstreamPlan(
        String address, int controlPort, List<EndpointPlan> endpoints, List<ServiceTime> times, int coldRequests) {
    private static final int COLD_FACTOR = 4;
    private static final ObjectMapper JSON = new ObjectMapper();

    public UpstreamPlan {
        endpoints = List.copyOf(endpoints);
        times = List.copyOf(times);
    }

    /** One endpoint; {@code port} 0 stands for any free one. */
    public record EndpointPlan(String id, String upstream, int port, int slots, int maxConnections) {}

    /** Mean time of requests whose path starts with {@code prefix}; single requests take from half to one and a half. */
    public record ServiceTime(String prefix, long meanMs) {}

    /** Reads a plan. */
    public static UpstreamPlan read(Path file) {
        try {
            return JSON.readValue(file.toFile(), UpstreamPlan.class);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the upstream plan " + file, e);
        }
    }

    /** Writes the plan to a file. */
    public void write(Path file) {
        try {
            JSON.writeValue(file.toFile(), this);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the upstream plan " + file, e);
        }
    }

    /** Returns the time of one request, the same for the same path. */
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
