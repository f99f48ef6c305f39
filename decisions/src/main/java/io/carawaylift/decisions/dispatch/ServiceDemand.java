package io.carawaylift.decisions.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Measures the requests of one host's callers for a service. Times are monotonic nanoseconds. Not thread-safe. */
public final class ServiceDemand {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Time constant of the mean arrival rate; short enough to follow a load change within seconds. */
    private static final double RATE_TIME_CONSTANT_SECONDS = 3;

    /** Time for which an object counts as recent; long enough to see most of the objects of a region. */
    private static final long RECENT_OBJECT_NANOS = 10_000_000_000L;

    private final Map<String, Long> objects = new HashMap<>();
    private double requestsPerSecond;
    private long rateUpdatedNanos;
    private int arrivals;

    /** Creates a measure without requests. */
    public ServiceDemand(long nowNanos) {
        rateUpdatedNanos = nowNanos;
    }

    /** Records the arrival of a request for an object, whose key is empty if there is none. */
    public void arrived(String object, long nowNanos) {
        arrivals++;
        if (!object.isEmpty()) {
            objects.put(object, nowNanos);
        }
    }

    /** Returns the number of objects that callers requested recently. */
    public int recentObjects(long nowNanos) {
        objects.values().removeIf(seen -> nowNanos - seen > RECENT_OBJECT_NANOS);
        return objects.size();
    }

    /** Updates the mean arrival rate with the arrivals since the last call. */
    public void updateRate(long nowNanos) {
        double seconds = (nowNanos - rateUpdatedNanos) / NANOS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        double weight = 1 - Math.exp(-seconds / RATE_TIME_CONSTANT_SECONDS);
        requestsPerSecond += weight * (arrivals / seconds - requestsPerSecond);
        arrivals = 0;
        rateUpdatedNanos = nowNanos;
    }

    /** Returns the mean number of slots in use by this host's requests, each of which takes {@code meanMillis}. */
    public double busySlots(double meanMillis) {
        return requestsPerSecond * meanMillis / MILLIS_PER_SECOND;
    }
}
