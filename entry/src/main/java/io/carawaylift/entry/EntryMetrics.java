package io.carawaylift.entry;

import io.carawaylift.decisions.Invariant;
import io.carawaylift.model.Rank;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/** Metrics of the entry program. Thread-safe. */
final class EntryMetrics {
    private static final Logger LOG = System.getLogger(EntryMetrics.class.getName());
    private static final Duration MIN_EXPECTED = Duration.ofMillis(1);
    private static final Duration MAX_EXPECTED = Duration.ofSeconds(60);

    private final MeterRegistry registry;
    private final Counter violations;
    private final Set<String> registeredUpstreams = ConcurrentHashMap.newKeySet();

    EntryMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.violations = Counter.builder("carawaylift.invariant.violations")
                .description("assertions inside the program that failed; any is a fault")
                .register(registry);
    }

    /** Records the duration and outcome of a caller's request. */
    void recordRequest(String service, Rank rank, String outcome, long nanos) {
        histogram("carawaylift.request.duration")
                .tag("service", service)
                .tag("rank", rank.label())
                .tag("outcome", outcome)
                .register(registry)
                .record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Records how long a draining endpoint still had requests in flight. */
    void recordDrain(String upstream, long nanos) {
        histogram("carawaylift.drain.duration")
                .tag("upstream", upstream)
                .register(registry)
                .record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Counts bytes sent to another region. */
    void countLinkBytes(String toRegion, int bytes) {
        registry.counter("carawaylift.link.bytes", "to", toRegion).increment(bytes);
    }

    /** Registers the gauges of an upstream; later calls for the same upstream do nothing. */
    void registerUpstream(QueueShards queueShards, String upstream) {
        if (!registeredUpstreams.add(upstream)) {
            return;
        }
        gauge(
                "carawaylift.in.flight",
                queueShards,
                upstream,
                load -> load.load().inFlight());
        gauge("carawaylift.usable.slots", queueShards, upstream, QueueShards.UpstreamLoad::usableSlots);
    }

    /** Counts and logs an exception that indicates a fault of this program, see {@link Invariant}. */
    void countViolation(String where, Throwable fault) {
        violations.increment();
        LOG.log(Level.ERROR, "code 900 in " + where, fault);
    }

    /** Returns how many violations were counted. */
    long violationCount() {
        return (long) violations.count();
    }

    private void gauge(
            String name, QueueShards queueShards, String upstream, ToDoubleFunction<QueueShards.UpstreamLoad> value) {
        Gauge.builder(
                        name,
                        queueShards,
                        source ->
                                source.load(upstream).map(value::applyAsDouble).orElse(0.0))
                .tag("upstream", upstream)
                .register(registry);
    }

    private static Timer.Builder histogram(String name) {
        return Timer.builder(name)
                .publishPercentileHistogram()
                .minimumExpectedValue(MIN_EXPECTED)
                .maximumExpectedValue(MAX_EXPECTED);
    }
}
