package io.carawaylift.loadmodel;

import io.carawaylift.decisions.fleet.EndpointEntry;
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
        void ended(Outcome outcome, int running, int waiting);
    }

    private record Work(String object, long deadlineNanos, Listener listener) {}

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

    void receive(String object, long deadlineNanos, Listener listener) {
        if (random.nextDouble() < failureProbability || queue.size() >= service.queueLimit()) {
            listener.ended(Outcome.REJECTED, running, queue.size());
        } else {
            queue.addLast(new Work(object, deadlineNanos, listener));
            startNext();
        }
    }

    private void startNext() {
        while (running < service.slots() && !queue.isEmpty()) {
            Work work = queue.pollFirst();
            if (events.nowNanos() >= work.deadlineNanos()) {
                work.listener().ended(Outcome.FAILED, running, queue.size());
                continue;
            }
            running++;
            started++;
            double millis = processingMillis(work.object());
            double untilDeadline = (work.deadlineNanos() - events.nowNanos()) / NANOS_PER_MILLI;
            events.afterMillis(Math.min(millis, untilDeadline), () -> {
                running--;
                Outcome outcome = millis <= untilDeadline ? Outcome.ANSWERED : Outcome.FAILED;
                work.listener().ended(outcome, running, queue.size());
                startNext();
            });
        }
    }

    private double processingMillis(String object) {
        boolean cached = cache.put(object, true) != null;
        if (!cached) {
            uncached++;
        }
        double mean = service.uncachedMillis() * (cached ? service.cachedFraction() : 1) * slowness;
        return Math.max(0.3 * mean, mean * (1 + PROCESSING_SPREAD * random.nextGaussian()));
    }
}
