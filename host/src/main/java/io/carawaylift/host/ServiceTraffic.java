package io.carawaylift.host;

import io.carawaylift.decisions.fleet.ProcessingTimes;
import io.carawaylift.decisions.fleet.RegionShares;
import io.carawaylift.decisions.fleet.SharedRetryBudget;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What this host keeps about the requests for one service. Used on the event loop only. */
final class ServiceTraffic {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Time constant of the mean arrival rate; short enough to follow a change of load within seconds. */
    private static final double RATE_SECONDS = 3;

    /** Time for which an object counts as asked for; long enough to see most of the objects of a region. */
    private static final long OBJECT_NANOS = 10_000_000_000L;

    private final ProcessingTimes times;
    private final RegionShares shares;
    private final SharedRetryBudget retries;
    private final Map<String, Long> objects = new HashMap<>();
    private final List<Exchange> waiting = new ArrayList<>();
    private double requestsPerSecond;
    private long countedSince;
    private int counted;

    ServiceTraffic(ProcessingTimes times, RegionShares shares, SharedRetryBudget retries, long nowNanos) {
        this.times = times;
        this.shares = shares;
        this.retries = retries;
        this.countedSince = nowNanos;
    }

    ProcessingTimes times() {
        return times;
    }

    RegionShares shares() {
        return shares;
    }

    SharedRetryBudget retries() {
        return retries;
    }

    /** Records a request of a caller for an object, whose key is empty if there is none. */
    void arrived(String object, long nowNanos) {
        counted++;
        retries.recordRequest(nowNanos);
        if (!object.isEmpty()) {
            objects.put(object, nowNanos);
        }
    }

    /** Returns the number of objects that callers asked for not long ago. */
    int recentObjects(long nowNanos) {
        objects.values().removeIf(seen -> nowNanos - seen > OBJECT_NANOS);
        return objects.size();
    }

    /** Folds the requests since the last call into the mean rate. */
    void updateRate(long nowNanos) {
        double seconds = (nowNanos - countedSince) / NANOS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        double weight = 1 - Math.exp(-seconds / RATE_SECONDS);
        requestsPerSecond += weight * (counted / seconds - requestsPerSecond);
        counted = 0;
        countedSince = nowNanos;
    }

    /** Returns the slots that this host's requests keep busy. */
    double busySlots() {
        return requestsPerSecond * times.meanMillis() / MILLIS_PER_SECOND;
    }

    /** Adds a request that waits for room. */
    void await(Exchange exchange) {
        waiting.add(exchange);
    }

    void leave(Exchange exchange) {
        waiting.remove(exchange);
    }

    /** Offers room to the waiting requests, those of the highest rank first. */
    void offerRoom() {
        if (waiting.isEmpty()) {
            return;
        }
        List<Exchange> ordered = new ArrayList<>(waiting);
        ordered.sort(Comparator.comparingInt(Exchange::priority).thenComparingLong(Exchange::arrivedNanos));
        for (Exchange exchange : ordered) {
            if (waiting.contains(exchange) && exchange.tryNow()) {
                waiting.remove(exchange);
            }
        }
    }
}
