package io.carawaylift.loadmodel;

import io.carawaylift.decisions.fleet.EndpointEntry;
import io.carawaylift.decisions.fleet.Rendezvous;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** An endpoint with slots, a bounded queue and a cache of the objects that it handled recently. */
final class ModelEndpoint {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Standard deviation of the processing time as a fraction of its mean. */
    private static final double PROCESSING_SPREAD = 0.15;

    private static final double SLOW_REQUEST_FACTOR = 7;
    private static final double SLOW_ENDPOINT_FACTOR = 2.5;
    private static final double SLOW_ENDPOINTS = 1.0 / 7;
    private static final long SPEED_EPOCH_NANOS = 600_000_000L;
    private static final double PERCENT = 100;

    private final EventQueue events;
    private final SplittableRandom random;
    private final ServiceModel service;
    private final EndpointEntry entry;
    private final Deque<Work> queue = new ArrayDeque<>();
    private final Map<String, Boolean> cache;
    private int running;
    private double slowness = 1;
    private double failureProbability;
    private int started;
    private int uncached;

    /** How a request ended at an endpoint. */
    enum Outcome {
        ANSWERED,
        REJECTED,
        FAILED
    }

    /** Receives the end of a request, with the load that the endpoint reports. */
    interface Listener {
        void ended(Outcome outcome, int running, int waiting, double processingPercent);
    }

    private record Work(ServiceModel kind, String object, long deadlineNanos, Listener listener) {}

    ModelEndpoint(EventQueue events, SplittableRandom random, ServiceModel service, EndpointEntry entry) {
        this.events = events;
        this.random = random;
        this.service = service;
        this.entry = entry;
        this.cache = new LinkedHashMap<>(service.cachedObjects(), 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > service.cachedObjects();
            }
        };
    }

    EndpointEntry entry() {
        return entry;
    }

    void setSlowness(double factor) {
        slowness = factor;
    }

    void setFailureProbability(double probability) {
        failureProbability = probability;
    }

    /** Forgets all cached objects. */
    void clearCache() {
        cache.clear();
    }

    /** Returns whether the endpoint is slow or fails requests. */
    boolean isChanged() {
        return slowness > 1 || failureProbability > 0;
    }

    int started() {
        return started;
    }

    int uncached() {
        return uncached;
    }

    void receive(ServiceModel kind, String object, long deadlineNanos, Listener listener) {
        if (random.nextDouble() < failureProbability || queue.size() >= service.queueLimit()) {
            listener.ended(Outcome.REJECTED, running, queue.size(), percent());
        } else {
            queue.addLast(new Work(kind, object, deadlineNanos, listener));
            startNext();
        }
    }

    private void startNext() {
        while (running < service.slots() && !queue.isEmpty()) {
            Work work = queue.pollFirst();
            if (events.nowNanos() >= work.deadlineNanos()) {
                work.listener().ended(Outcome.FAILED, running, queue.size(), percent());
                continue;
            }
            running++;
            started++;
            double millis = processingMillis(work.kind(), work.object());
            double untilDeadline = (work.deadlineNanos() - events.nowNanos()) / NANOS_PER_MILLI;
            events.afterMillis(Math.min(millis, untilDeadline), () -> {
                running--;
                Outcome outcome = millis <= untilDeadline ? Outcome.ANSWERED : Outcome.FAILED;
                work.listener().ended(outcome, running, queue.size(), percent());
                startNext();
            });
        }
    }

    /** Returns the current processing time as a multiple of the usual one. */
    private double speed() {
        if (!service.unevenSpeed()) {
            return 1;
        }
        String epoch = Long.toString(events.nowNanos() / SPEED_EPOCH_NANOS);
        return Rendezvous.fraction(entry.id(), epoch) < SLOW_ENDPOINTS ? SLOW_ENDPOINT_FACTOR : 1;
    }

    /** Returns the fourth figure of the load header, 0 if the endpoint does not report it. */
    private double percent() {
        return service.unevenSpeed() ? PERCENT * speed() : 0;
    }

    private double processingMillis(ServiceModel kind, String object) {
        boolean cached = cache.put(object, true) != null;
        if (!cached) {
            uncached++;
        }
        double outlier = random.nextDouble() < kind.slowFraction() ? SLOW_REQUEST_FACTOR : 1;
        double mean = kind.uncachedMillis() * (cached ? kind.cachedFraction() : 1) * slowness * speed() * outlier;
        return Math.max(0.3 * mean, mean * (1 + PROCESSING_SPREAD * random.nextGaussian()));
    }
}
