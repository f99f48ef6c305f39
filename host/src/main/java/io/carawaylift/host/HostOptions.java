package io.carawaylift.host;

import io.carawaylift.platform.store.EntryLimits;
import io.carawaylift.runtime.HostSettings;
import io.carawaylift.runtime.Settings;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;

/**
 * Settings of the program, read from the file that the platform generates from {@code deploy/host.toml}.
 *
 * @param callers address for callers' requests
 * @param readiness address for the platform's readiness checks
 * @param lookups address at which callers look up hosts
 * @param peerPort port for the other hosts
 * @param metricsPort port of the metrics page
 * @param store address of the platform's store
 * @param regionsByZone region of each zone
 * @param cores processor capacity of the host, in cores of standard speed
 * @param limits limits that operators set for all hosts together
 * @param bounds times and quotas within which all hosts must act
 * @param buffers bounds of what the host holds in memory
 * @param entries bounds of what is decoded of one object in the store
 * @param pipelines bounds of what the host holds for callers that send requests before they have read the responses
 */
record HostOptions(
        HostSettings host,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress lookups,
        int peerPort,
        int metricsPort,
        InetSocketAddress store,
        Map<String, String> regionsByZone,
        double cores,
        SharedLimits limits,
        Bounds bounds,
        BufferLimits buffers,
        EntryLimits entries,
        PipelineLimits pipelines) {
    private static final double MAX_CORES = 1024;
    private static final double MIN_SECONDS = 0.1;
    private static final double MAX_SECONDS = 600;
    private static final Duration MIN_BOUND = Duration.ofMillis(100);
    private static final Duration MAX_BOUND = Duration.ofMinutes(10);
    private static final double MILLIS_PER_SECOND = 1000;

    /** Heartbeats that an endpoint misses before the store removes its entry. */
    private static final int HEARTBEATS_UNTIL_EXPIRY = 3;

    /** Several times what a host or an endpoint writes. */
    private static final int MIN_ENTRY_BYTES = 4096;

    private static final Duration MIN_DECODE_TIME = Duration.ofMillis(10);
    private static final int MIN_BUFFER_BYTES = 64 * 1024;
    private static final int MAX_BUFFER_BYTES = 1024 * 1024 * 1024;
    private static final int DEFAULT_RESPONSE_BYTES = 8 * 1024 * 1024;
    private static final int DEFAULT_ENDPOINT_BYTES = 12 * 1024 * 1024;

    /** A growing buffer takes up to twice its bytes, and the program has 96 MiB for buffers. */
    private static final int DEFAULT_TOTAL_BYTES = 32 * 1024 * 1024;

    private static final int DEFAULT_CONNECTION_BYTES = 1024 * 1024;
    private static final int DEFAULT_PIPELINED_BYTES = 16 * 1024 * 1024;
    private static final int MAX_PIPELINED_REQUESTS = 1024;
    private static final int MAX_TOTAL_PIPELINED_REQUESTS = 1_000_000;

    /**
     * Limits that the platform's operators set.
     *
     * @param gracePeriod duration between SIGTERM and SIGKILL
     * @param retryRatio retries per request of a service
     * @param retryAllowance retries beyond the ratio per window, for all hosts together
     * @param retryWindow length of the window
     * @param maxRegionShift max fraction of a region's requests that may move to another region within two seconds
     */
    record SharedLimits(
            Duration gracePeriod,
            double retryRatio,
            double retryAllowance,
            Duration retryWindow,
            double maxRegionShift) {}

    /**
     * Times and quotas that the platform's operators set.
     *
     * @param stabilityWindow time without disturbance after which a host must act on changes of the store
     * @param configurationDelay time after which an accepted configuration must be in force
     * @param drainDelay time after which an endpoint that leaves must get no new requests
     * @param strictRevocation whether a host that cannot know that a key is still valid must refuse it
     * @param revocationDelay time after which a withdrawn key must be refused
     * @param entryExpiry silence of an endpoint after which the store removes its entry
     * @param quotaWindow length of the windows in which customers' requests are limited
     * @param quotaOverage fraction by which a customer's limit may be exceeded in a window
     * @param quotaSlack requests beyond the limit and its overage in a window
     */
    record Bounds(
            Duration stabilityWindow,
            Duration configurationDelay,
            Duration drainDelay,
            boolean strictRevocation,
            Duration revocationDelay,
            Duration entryExpiry,
            Duration quotaWindow,
            double quotaOverage,
            double quotaSlack) {}

    /**
     * Bounds of the bytes that are buffered at once.
     *
     * @param maxResponseBytes bytes of one response
     * @param maxEndpointBytes bytes of the responses of one endpoint
     * @param maxTotalBytes bytes of all requests and responses
     */
    record BufferLimits(long maxResponseBytes, long maxEndpointBytes, long maxTotalBytes) {}

    /**
     * Bounds of the requests that callers send before they have the responses to earlier ones.
     *
     * @param maxRequests requests of a connection that are read and whose responses are not written
     * @param maxConcurrentRequests requests of a connection that run at once, if all are idempotent
     * @param maxConnectionBytes bytes held for a connection above which it runs and reads nothing more
     * @param maxTotalRequests requests of all connections above which each connection has only one
     * @param maxTotalBytes bytes held for all connections above which each connection has only one request
     */
    record PipelineLimits(
            int maxRequests,
            int maxConcurrentRequests,
            long maxConnectionBytes,
            int maxTotalRequests,
            long maxTotalBytes) {}

    static HostOptions of(Settings settings) {
        return new HostOptions(
                HostSettings.of(settings),
                socketAddress(settings.address("listen.callers")),
                socketAddress(settings.address("listen.readiness")),
                socketAddress(settings.address("listen.lookups")),
                settings.port("listen.peer_port"),
                settings.port("listen.metrics_port"),
                socketAddress(settings.address("platform.store")),
                settings.texts("zones"),
                settings.decimal("machine.processor_share", 1, 0, 1)
                        * settings.decimal("machine.processor_speed", 1, 0, MAX_CORES),
                new SharedLimits(
                        seconds(settings, "limits.grace_period_s", 6),
                        settings.decimal("limits.retry_ratio", 0.2, 0, 1),
                        settings.decimal("limits.retry_allowance", 10, 0, 1e6),
                        seconds(settings, "limits.retry_window_s", 10),
                        settings.decimal("limits.max_region_shift", 0.15, 0, 1)),
                bounds(settings),
                new BufferLimits(
                        bytes(settings, "buffers.max_response_bytes", DEFAULT_RESPONSE_BYTES),
                        bytes(settings, "buffers.max_endpoint_bytes", DEFAULT_ENDPOINT_BYTES),
                        bytes(settings, "buffers.max_total_bytes", DEFAULT_TOTAL_BYTES)),
                new EntryLimits(
                        settings.integer(
                                "entries.max_bytes", EntryLimits.DEFAULT.maxBytes(), MIN_ENTRY_BYTES, MAX_BUFFER_BYTES),
                        settings.millis(
                                "entries.max_decode_ms",
                                EntryLimits.DEFAULT.maxDecodeTime(),
                                MIN_DECODE_TIME,
                                MAX_BOUND)),
                new PipelineLimits(
                        settings.integer("pipelines.max_requests", 16, 1, MAX_PIPELINED_REQUESTS),
                        settings.integer("pipelines.max_concurrent_requests", 4, 1, MAX_PIPELINED_REQUESTS),
                        bytes(settings, "pipelines.max_connection_bytes", DEFAULT_CONNECTION_BYTES),
                        settings.integer("pipelines.max_total_requests", 2048, 1, MAX_TOTAL_PIPELINED_REQUESTS),
                        bytes(settings, "pipelines.max_total_bytes", DEFAULT_PIPELINED_BYTES)));
    }

    private static Bounds bounds(Settings settings) {
        return new Bounds(
                millis(settings, "limits.stability_window_ms", 4000),
                millis(settings, "limits.configuration_delay_ms", 3000),
                millis(settings, "limits.drain_delay_ms", 3000),
                settings.flag("limits.strict_revocation", false),
                millis(settings, "limits.revocation_delay_ms", 5000),
                millis(settings, "platform.heartbeat_interval_ms", 1500).multipliedBy(HEARTBEATS_UNTIL_EXPIRY),
                seconds(settings, "limits.quota_window_s", 5),
                settings.decimal("limits.quota_overage", 0, 0, 1),
                settings.decimal("limits.quota_slack", 0, 0, 1e6));
    }

    private static long bytes(Settings settings, String key, int defaultBytes) {
        return settings.integer(key, defaultBytes, MIN_BUFFER_BYTES, MAX_BUFFER_BYTES);
    }

    private static Duration seconds(Settings settings, String key, double defaultSeconds) {
        double seconds = settings.decimal(key, defaultSeconds, MIN_SECONDS, MAX_SECONDS);
        return Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
    }

    private static Duration millis(Settings settings, String key, long defaultMillis) {
        return settings.millis(key, Duration.ofMillis(defaultMillis), MIN_BOUND, MAX_BOUND);
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
