package io.carawaylift.decisions.route;

/**
 * Configuration of a service.
 *
 * @param maxConnections connections that an endpoint accepts from all callers together
 * @param coldStartMillis how long an endpoint stays cold after its start
 * @param coldRequestsPerSecond requests per second that a cold endpoint tolerates, summed over all hosts
 */
public record ServiceProfile(
        String name, String healthCheckPath, int maxConnections, long coldStartMillis, double coldRequestsPerSecond) {}
