package io.carawaylift.host;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Counters, gauges and latency histograms of the program. Updated by the event loop only; scraped by any thread. */
final class HostMetrics {
    /** Upper bounds of the latency histogram buckets; they span the target latencies of the routes. */
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(350),
        Duration.ofMillis(500),
        Duration.ofMillis(750),
        Duration.ofSeconds(1),
        Duration.ofMillis(1500),
        Duration.ofMillis(3000),
        Duration.ofMillis(6000)
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Counter> counters = new HashMap<>();
    private final Map<String, Timer> timers = new HashMap<>();

    /** Increments a counter; {@code tags} alternates between names and values. */
    void count(String name, String... tags) {
        counters.computeIfAbsent(key(name, tags), key -> registry.counter(name, tags))
                .increment();
    }

    /** Returns the sum of a counter over all values of its tags. */
    double total(String name) {
        return registry.find(name).counters().stream()
                .mapToDouble(Counter::count)
                .sum();
    }

    /** Records a latency; {@code tags} alternates between names and values. */
    void time(String name, long nanos, String... tags) {
        timers.computeIfAbsent(
                        key(name, tags),
                        key -> Timer.builder(name)
                                .tags(tags)
                                .serviceLevelObjectives(LATENCY_BUCKETS)
                                .register(registry))
                .record(Duration.ofNanos(nanos));
    }

    /** Registers a gauge that is read at each scrape; {@code tags} alternates between names and values. */
    void gauge(String name, Supplier<Number> value, String... tags) {
        io.micrometer.core.instrument.Gauge.builder(name, value).tags(tags).register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    String scrape() {
        return registry.scrape();
    }

    private static String key(String name, String... tags) {
        return name + '|' + String.join("|", tags);
    }
}
