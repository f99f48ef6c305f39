package io.carawaylift.decisions.fleet;

import io.carawaylift.decisions.pace.EndpointPace;
import java.util.LinkedHashMap;
import java.util.Map;

/** This host's view of one endpoint. Times are monotonic nanoseconds. Not thread-safe. */
public final class EndpointStatus {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Half-life of an observation of other hosts' load: a few times the duration of a request. */
    private static final double LOAD_HALF_LIFE_NANOS = 750e6;

    /** Half-life of the current processing time that the endpoint reported; it changes about every 600 ms. */
    private static final double SPEED_HALF_LIFE_NANOS = 300e6;

    /** Weight of the newest response in the moving average of relative processing times. */
    private static final double SLOWNESS_WEIGHT = 0.2;

    /**
     * Relative processing time as which a single slow response counts: a few percent of the requests take many times as
     * long at any endpoint. A second one in succession counts in full.
     */
    private static final double MAX_SINGLE_SLOWNESS = 1.5;

    /** Half-life of the slowness without responses, so that an endpoint that recovered is tried again. */
    private static final double SLOWNESS_HALF_LIFE_NANOS = 10e9;

    /** Weight of the newest outcome in the fraction of requests that fail. */
    private static final double FAILURE_WEIGHT = 0.2;

    /** Half-life of that fraction without requests, so that an endpoint that recovered is used again. */
    private static final double FAILURE_HALF_LIFE_NANOS = 2e9;

    /** Objects assumed to be cached by an endpoint; endpoints cache a few dozen. */
    public static final int MAX_CACHED_OBJECTS = 30;

    private static final double PERCENT = 100;

    private EndpointEntry entry;
    private int inFlight;
    private double otherHostsLoad;
    private long loadReportedNanos;
    private long coldUntilNanos;
    private long silencedUntilNanos;
    private double speed = 1;
    private long speedReportedNanos;
    private int lastWaiting;
    private double lastRelativeTime = 1;
    private double slowness = 1;
    private long slownessNanos;
    private boolean wasCold;
    private double failureFraction;
    private long outcomeNanos;
    private final EndpointPace pace;
    private final double reserveRank;
    private GroupLoad group = new GroupLoad();
    private final Map<String, Long> recentObjects = new LinkedHashMap<>(MAX_CACHED_OBJECTS, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_CACHED_OBJECTS;
        }
    };

    EndpointStatus(EndpointEntry entry, boolean fixedPace, long nowNanos) {
        this.entry = entry;
        this.loadReportedNanos = nowNanos;
        this.speedReportedNanos = nowNanos;
        this.slownessNanos = nowNanos;
        this.outcomeNanos = nowNanos;
        this.silencedUntilNanos = nowNanos;
        this.reserveRank = Rendezvous.fraction(entry.id(), "reserve");
        this.pace = new EndpointPace(nowNanos, fixedPace);
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
            loadReportedNanos = nowNanos;
            speed = 1;
            lastWaiting = 0;
            slowness = 1;
            lastRelativeTime = 1;
            failureFraction = 0;
            silencedUntilNanos = nowNanos;
            recentObjects.clear();
            pace.reset(nowNanos);
            wasCold = false;
        }
        setCold(newer.remainingColdMillis(), nowNanos);
    }

    /** Records the remaining cold time that the endpoint reported; 0 leaves an earlier report in force. */
    public void setCold(long millis, long nowNanos) {
        if (millis > 0) {
            coldUntilNanos = nowNanos + (long) (millis * NANOS_PER_MILLI);
            wasCold = true;
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

    /** Sets what the endpoints of the same service and region reported together. */
    void setGroup(GroupLoad load) {
        group = load;
    }

    /** Returns the pace of a cold or recovering endpoint. */
    public EndpointPace pace() {
        return pace;
    }

    /** Returns the share of its usual requests that the endpoint gets now; below 1 after a cold period. */
    double share(long nowNanos) {
        if (wasCold && !isCold(nowNanos)) {
            wasCold = false;
            pace.startRamp(coldUntilNanos);
        }
        return pace.share(nowNanos);
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

    /** Records the load that the endpoint reported with a response, without its processing time. */
    public void loadReported(int running, int waiting, long nowNanos) {
        loadReported(running, waiting, 0, nowNanos);
    }

    /**
     * Records the load that the endpoint reported with a response.
     *
     * @param processingPercent current processing time, 100 being the usual; 0 if not reported
     */
    public void loadReported(int running, int waiting, double processingPercent, long nowNanos) {
        otherHostsLoad = Math.max(0, running + waiting - inFlight);
        loadReportedNanos = nowNanos;
        lastWaiting = waiting;
        group.reported(this, running + waiting, nowNanos);
        if (processingPercent > 0) {
            speed = processingPercent / PERCENT;
            speedReportedNanos = nowNanos;
        }
    }

    /**
     * Returns the current processing time as a multiple of the usual one, from the last report; approaches 1 with the age
     * of the report.
     */
    public double speed(long nowNanos) {
        return speed == 1 ? 1 : 1 + (speed - 1) * Decay.remaining(nowNanos - speedReportedNanos, SPEED_HALF_LIFE_NANOS);
    }

    /**
     * Records whether a request succeeded; a request that the endpoint rejected did not. A failure of an endpoint
     * without a free slot is not recorded: its load, not its state, explains it.
     */
    public void outcome(boolean succeeded, long nowNanos) {
        if (!succeeded) {
            pace.refused();
        }
        if (!succeeded && load(nowNanos) >= entry.slots()) {
            return;
        }
        failureFraction = failureFraction(nowNanos);
        failureFraction += FAILURE_WEIGHT * ((succeeded ? 0 : 1) - failureFraction);
        outcomeNanos = nowNanos;
    }

    /** Returns the moving average of the fraction of requests that failed or were rejected. */
    public double failureFraction(long nowNanos) {
        return failureFraction == 0
                ? 0
                : failureFraction * Decay.remaining(nowNanos - outcomeNanos, FAILURE_HALF_LIFE_NANOS);
    }

    /**
     * Records the processing time of a response and the expected one.
     *
     * @param actualMillis divided by {@link #speed} if the endpoint reported it
     */
    public void responseReceived(double actualMillis, double expectedMillis, long nowNanos) {
        double relative = Math.min(10, actualMillis / Math.max(1, expectedMillis));
        double counted = Math.min(relative, Math.max(MAX_SINGLE_SLOWNESS, lastRelativeTime));
        lastRelativeTime = relative;
        slowness += SLOWNESS_WEIGHT * (counted - slowness);
        slownessNanos = nowNanos;
        pace.responded(relative, lastWaiting);
    }

    /** Returns the moving average of actual over expected processing times, at least 0.5; 1 is as expected. */
    public double slowness(long nowNanos) {
        double learned = 1 + (slowness - 1) * Decay.remaining(nowNanos - slownessNanos, SLOWNESS_HALF_LIFE_NANOS);
        return Math.max(0.5, learned);
    }

    /** Returns the estimated number of requests of all hosts at the endpoint, from its own reports only. */
    public double load(long nowNanos) {
        return inFlight + otherHostsLoad * Decay.remaining(nowNanos - loadReportedNanos, LOAD_HALF_LIFE_NANOS);
    }

    /**
     * Returns the estimated number of requests of all hosts at the endpoint; without a recent report it is assumed to be
     * as busy as the endpoints of the service in the region are on average, if these have no free slot. For requests that
     * prefer no endpoint only: objects would leave the endpoints that cache them, and make all of them slower.
     */
    double loadOrMean(long nowNanos) {
        double perSlot = group.perSlot(nowNanos);
        if (perSlot < 1) {
            return load(nowNanos);
        }
        double known = Decay.remaining(nowNanos - loadReportedNanos, LOAD_HALF_LIFE_NANOS);
        return inFlight + known * otherHostsLoad + (1 - known) * Math.max(0, perSlot * entry.slots() - inFlight);
    }

    /**
     * Returns whether the free slots are kept for more urgent requests. A fraction of a slot is kept as a whole slot at
     * this fraction of the endpoints, the same ones at all hosts: a chance per attempt would be passed by repeating it.
     */
    boolean isReserved(double fraction, long nowNanos) {
        if (fraction <= 0) {
            return false;
        }
        double slots = Math.min(fraction * entry.slots(), entry.slots() - 1.0);
        double whole = Math.floor(slots);
        double kept = whole + (reserveRank < slots - whole ? 1 : 0);
        return kept > 0 && load(nowNanos) + 1 > entry.slots() - kept;
    }

    /** Returns whether this host recently sent a request for the object to the endpoint. */
    boolean probablyCaches(String object) {
        return recentObjects.containsKey(object);
    }
}
