package io.carawaylift.decisions.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/** This host's view of one endpoint. Times are monotonic nanoseconds. Not thread-safe. */
public final class EndpointStatus {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Half-life of an observation of other hosts' load: a few times the duration of a request. */
    private static final double LOAD_HALF_LIFE_NANOS = 750e6;

    /** Weight of the newest response in the moving average of relative latency. */
    private static final double SLOWNESS_WEIGHT = 0.2;

    /** Weight of the newest outcome in the fraction of requests that fail. */
    private static final double FAILURE_WEIGHT = 0.2;

    /** Half-life of that fraction without requests, so that an endpoint that recovered is used again. */
    private static final double FAILURE_HALF_LIFE_NANOS = 2e9;

    /** Objects assumed to be cached by an endpoint; endpoints cache a few dozen. */
    public static final int MAX_CACHED_OBJECTS = 24;

    /** Requests that may be sent to a cold endpoint at once. */
    private static final double COLD_BURST_REQUESTS = 1;

    private EndpointEntry entry;
    private int inFlight;
    private double otherHostsLoad;
    private long loadReportedNanos;
    private long coldUntilNanos;
    private long silencedUntilNanos;
    private double slowness = 1;
    private double failureFraction;
    private long outcomeNanos;
    private TokenBucket coldBucket;
    private final Map<String, Long> recentObjects = new LinkedHashMap<>(MAX_CACHED_OBJECTS, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_CACHED_OBJECTS;
        }
    };

    EndpointStatus(EndpointEntry entry, long nowNanos) {
        this.entry = entry;
        this.loadReportedNanos = nowNanos;
        this.silencedUntilNanos = nowNanos;
        this.coldBucket = new TokenBucket(COLD_BURST_REQUESTS, nowNanos);
        setCold(entry.remainingColdMillis(), nowNanos);
    }

    /** Returns the newest entry of the endpoint. */
    public EndpointEntry entry() {
        return entry;
    }

    /** Returns the number of this host's requests in flight at the endpoint. */
    public int inFlight() {
        return inFlight;
    }

    /** Updates to a newer entry; an entry of another incarnation resets the statistics. */
    void update(EndpointEntry newer, long nowNanos) {
        boolean same = entry.sameIncarnation(newer);
        entry = newer;
        if (!same) {
            otherHostsLoad = 0;
            slowness = 1;
            failureFraction = 0;
            silencedUntilNanos = nowNanos;
            recentObjects.clear();
            coldBucket = new TokenBucket(COLD_BURST_REQUESTS, nowNanos);
        }
        setCold(newer.remainingColdMillis(), nowNanos);
    }

    /** Records the remaining cold time that the endpoint reported; 0 leaves an earlier report in force. */
    public void setCold(long millis, long nowNanos) {
        if (millis > 0) {
            coldUntilNanos = nowNanos + (long) (millis * NANOS_PER_MILLI);
        }
    }

    /** Returns whether the endpoint tolerates only few requests now. */
    public boolean isCold(long nowNanos) {
        return coldUntilNanos - nowNanos > 0;
    }

    /** Sends nothing until the given time; an earlier time than one already set changes nothing. */
    void silence(long untilNanos, long nowNanos) {
        if (untilNanos - nowNanos > Math.max(0, silencedUntilNanos - nowNanos)) {
            silencedUntilNanos = untilNanos;
        }
    }

    /** Returns whether the endpoint requested to get nothing from this host now. */
    public boolean isSilenced(long nowNanos) {
        return silencedUntilNanos - nowNanos > 0;
    }

    /** Takes a permit for one request to the endpoint while it is cold. */
    public boolean tryColdRequest(double requestsPerSecond, long nowNanos) {
        return coldBucket.tryTake(requestsPerSecond, nowNanos);
    }

    boolean coldRequestAvailable(double requestsPerSecond, long nowNanos) {
        return coldBucket.available(requestsPerSecond, nowNanos);
    }

    /** Records that a request was sent. */
    public void requestSent(String object, long nowNanos) {
        inFlight++;
        if (!object.isEmpty()) {
            recentObjects.put(object, nowNanos);
        }
    }

    /** Records that a request ended, with or without a response. */
    public void requestEnded() {
        inFlight--;
    }

    /** Records the load that the endpoint reported with a response. */
    public void loadReported(int running, int waiting, long nowNanos) {
        otherHostsLoad = Math.max(0, running + waiting - inFlight);
        loadReportedNanos = nowNanos;
    }

    /**
     * Records whether a request succeeded; a request that the endpoint rejected did not. A failure of an endpoint
     * without a free slot is not recorded: its load, not its state, explains it.
     */
    public void outcome(boolean succeeded, long nowNanos) {
        if (!succeeded && load(nowNanos) >= entry.slots()) {
            return;
        }
        failureFraction = failureFraction(nowNanos);
        failureFraction += FAILURE_WEIGHT * ((succeeded ? 0 : 1) - failureFraction);
        outcomeNanos = nowNanos;
    }

    /** Returns the moving average of the fraction of requests that failed or were rejected. */
    public double failureFraction(long nowNanos) {
        double age = Math.max(0, nowNanos - outcomeNanos);
        return failureFraction * Math.pow(0.5, age / FAILURE_HALF_LIFE_NANOS);
    }

    /** Records the actual and the expected latency of a response. */
    public void responseReceived(double actualMillis, double expectedMillis) {
        double relative = Math.min(10, actualMillis / Math.max(1, expectedMillis));
        slowness += SLOWNESS_WEIGHT * (relative - slowness);
    }

    /** Returns the moving average of actual over expected latency, at least 0.5; 1 is as expected. */
    public double slowness() {
        return Math.max(0.5, slowness);
    }

    /** Returns the estimated number of requests of all hosts at the endpoint. */
    public double load(long nowNanos) {
        double age = Math.max(0, nowNanos - loadReportedNanos);
        return inFlight + otherHostsLoad * Math.pow(0.5, age / LOAD_HALF_LIFE_NANOS);
    }

    /** Returns whether this host recently sent a request for the object to the endpoint. */
    boolean probablyCaches(String object) {
        return recentObjects.containsKey(object);
    }
}
