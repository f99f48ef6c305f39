package io.carawaylift.host;

import io.carawaylift.decisions.fleet.ProcessingTimes;
import io.carawaylift.decisions.fleet.RegionShares;
import io.carawaylift.decisions.fleet.SharedRetryBudget;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the arrival rate, processing times, shares, retry budget and queue of the requests for one service. Used on the
 * event loop only.
 */
final class ServiceTraffic {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Time constant of the mean arrival rate; short enough to follow a load change within seconds. */
    private static final double RATE_TIME_CONSTANT_SECONDS = 3;

    /** Time for which an object counts as recent; long enough to see most of the objects of a region. */
    private static final long RECENT_OBJECT_NANOS = 10_000_000_000L;

    private final ProcessingTimes processingTimes;
    private final RegionShares shares;
    private final SharedRetryBudget retries;
    private final Map<String, Long> objects = new HashMap<>();
    private final List<CallerRequest> queue = new ArrayList<>();
    private double requestsPerSecond;
    private long rateUpdatedNanos;
    private int arrivals;

    ServiceTraffic(ProcessingTimes processingTimes, RegionShares shares, SharedRetryBudget retries, long nowNanos) {
        this.processingTimes = processingTimes;
        this.shares = shares;
        this.retries = retries;
        this.rateUpdatedNanos = nowNanos;
    }

    ProcessingTimes processingTimes() {
        return processingTimes;
    }

    RegionShares shares() {
        return shares;
    }

    SharedRetryBudget retries() {
        return retries;
    }

    /** Records the arrival of a request for an object, whose key is empty if there is none. */
    void arrived(String object, long nowNanos) {
        arrivals++;
        retries.recordRequest(nowNanos);
        if (!object.isEmpty()) {
            objects.put(object, nowNanos);
        }
    }

    /** Returns the number of objects that callers requested recently. */
    int recentObjects(long nowNanos) {
        objects.values().removeIf(seen -> nowNanos - seen > RECENT_OBJECT_NANOS);
        return objects.size();
    }

    /** Updates the mean arrival rate with the arrivals since the last call. */
    void updateRate(long nowNanos) {
        double seconds = (nowNanos - rateUpdatedNanos) / NANOS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        double weight = 1 - Math.exp(-seconds / RATE_TIME_CONSTANT_SECONDS);
        requestsPerSecond += weight * (arrivals / seconds - requestsPerSecond);
        arrivals = 0;
        rateUpdatedNanos = nowNanos;
    }

    /** Returns the mean number of slots in use by this host's requests. */
    double busySlots() {
        return requestsPerSecond * processingTimes.meanMillis() / MILLIS_PER_SECOND;
    }

    /** Adds a request to the queue. */
    void enqueue(CallerRequest request) {
        queue.add(request);
    }

    void dequeue(CallerRequest request) {
        queue.remove(request);
    }

    /** Tries to send the queued requests, those of the highest rank first. */
    void sendQueued() {
        if (queue.isEmpty()) {
            return;
        }
        List<CallerRequest> ordered = new ArrayList<>(queue);
        ordered.sort(Comparator.comparingInt(CallerRequest::priority).thenComparingLong(CallerRequest::arrivedNanos));
        for (CallerRequest request : ordered) {
            if (queue.contains(request) && request.trySend()) {
                queue.remove(request);
            }
        }
    }
}
