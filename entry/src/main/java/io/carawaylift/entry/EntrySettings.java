package io.carawaylift.entry;

import io.carawaylift.runtime.HostSettings;
import io.carawaylift.runtime.Settings;
import java.time.Duration;
import java.util.List;

/**
 * Settings of the entry program.
 *
 * @param queueCapacity max requests that wait per local upstream, and per remote owner and upstream
 * @param maxCalls max concurrent calls to owners and endpoints; each occupies a thread
 * @param slowThreshold requests that take longer are logged
 * @param stopTimeout max duration of a graceful stop
 */
record EntrySettings(
        HostSettings host,
        int port,
        int adminPort,
        int controlPort,
        int lookupPort,
        int queueCapacity,
        int maxCalls,
        Duration slowThreshold,
        Duration stopTimeout) {
    private static final List<String> KEYS =
            List.of("port", "admin_port", "queue_capacity", "max_calls", "slow_ms", "stop_limit_ms");
    private static final int DEFAULT_QUEUE_CAPACITY = 512;
    private static final int MAX_QUEUE_CAPACITY = 100_000;
    private static final int DEFAULT_MAX_CALLS = 1024;
    private static final int MAX_CALLS_UPPER_BOUND = 8192;
    private static final Duration DEFAULT_SLOW_THRESHOLD = Duration.ofSeconds(1);
    private static final Duration DEFAULT_STOP_TIMEOUT = Duration.ofMinutes(2);
    private static final Duration MIN_DURATION = Duration.ofMillis(1);
    private static final Duration MAX_DURATION = Duration.ofHours(1);

    /** Reads and checks the settings. */
    static EntrySettings of(Settings settings) {
        settings.rejectUnknownKeys("entry", KEYS);
        return new EntrySettings(
                HostSettings.of(settings),
                settings.port("entry.port"),
                settings.port("entry.admin_port"),
                settings.port("control.port"),
                settings.port("lookup.port"),
                settings.integer("entry.queue_capacity", DEFAULT_QUEUE_CAPACITY, 1, MAX_QUEUE_CAPACITY),
                settings.integer("entry.max_calls", DEFAULT_MAX_CALLS, 1, MAX_CALLS_UPPER_BOUND),
                settings.millis("entry.slow_ms", DEFAULT_SLOW_THRESHOLD, MIN_DURATION, MAX_DURATION),
                settings.millis("entry.stop_limit_ms", DEFAULT_STOP_TIMEOUT, MIN_DURATION, MAX_DURATION));
    }
}
