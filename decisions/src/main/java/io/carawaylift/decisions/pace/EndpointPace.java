package io.carawaylift.decisions.pace;

/**
 * Decides how much one host sends to an endpoint that is cold, has just become warm or has recovered from failures. While
 * the endpoint is cold it is a rate, which increases by a step for each good response and is multiplied by a factor below
 * one after a bad one. Afterwards it is a share of the requests that would choose the endpoint, which doubles after each
 * round without a bad response. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class EndpointPace {
    /** Requests that may be sent to a cold endpoint at once. */
    private static final double COLD_BURST_REQUESTS = 1;

    /** Rate to start with, as a fraction of the rate that the endpoint tolerates. */
    private static final double INITIAL_RATE_FRACTION = 0.5;

    private static final double MIN_RATE_FRACTION = 0.15;

    /** Below one: requests that were sent a little apart may arrive within the same second. */
    private static final double MAX_RATE_FRACTION = 0.85;

    /**
     * Two hosts that cannot see each other may both send. Together they stay under the tolerated rate times 1.5 plus 5
     * in any second if each adds its burst to at most 0.75 of the rate plus 1.5.
     */
    private static final double PARTITION_RATE_FRACTION = 0.75;

    private static final double PARTITION_RATE = 1.5;
    private static final double RATE_STEP_FRACTION = 0.1;
    private static final double SLOW_FACTOR = 0.75;
    private static final double REFUSED_FACTOR = 0.5;

    /** Share with which an endpoint starts after its cold period. */
    private static final double INITIAL_SHARE = 0.25;

    private static final double SHARE_FACTOR = 2;

    /** Length of a round. Longer ones cost more capacity than the slower start saves where many endpoints restart. */
    private static final long ROUND_NANOS = 250_000_000L;

    /** Processing time relative to that of a warm endpoint above which a response counts as slow. */
    private static final double SLOW_RATIO = 3;

    private static final long NOT_RAMPING = Long.MIN_VALUE;

    private final boolean fixed;
    private TokenBucket coldBucket;
    private double rateFraction = INITIAL_RATE_FRACTION;
    private double share = 1;
    private long roundStartNanos = NOT_RAMPING;
    private boolean badInRound;

    /** Creates the pace of an endpoint that takes its full share unless it is cold. */
    public EndpointPace(long nowNanos) {
        this(nowNanos, false);
    }

    /** Creates a pace; a fixed one stays at the initial rate and has no steps, for comparison. */
    public EndpointPace(long nowNanos, boolean fixed) {
        this.fixed = fixed;
        coldBucket = new TokenBucket(COLD_BURST_REQUESTS, nowNanos);
    }

    /** Forgets everything, since another process runs under the endpoint's id. */
    public void reset(long nowNanos) {
        coldBucket = new TokenBucket(COLD_BURST_REQUESTS, nowNanos);
        rateFraction = INITIAL_RATE_FRACTION;
        share = 1;
        roundStartNanos = NOT_RAMPING;
        badInRound = false;
    }

    /** Returns the requests per second that this host may send to the endpoint while it is cold. */
    public double coldRate(double toleratedPerSecond) {
        return Math.min(
                rateFraction * toleratedPerSecond, PARTITION_RATE_FRACTION * toleratedPerSecond + PARTITION_RATE);
    }

    /**
     * Returns whether a request may be sent now while the endpoint is cold.
     *
     * @param toleratedPerSecond requests per second of all hosts that the endpoint tolerates
     */
    public boolean permitsCold(double toleratedPerSecond, long nowNanos) {
        return coldBucket.available(coldRate(toleratedPerSecond), nowNanos);
    }

    /** Takes the permit for one request while the endpoint is cold. */
    public boolean tryTakeCold(double toleratedPerSecond, long nowNanos) {
        return coldBucket.tryTake(coldRate(toleratedPerSecond), nowNanos);
    }

    /** Starts to raise the share step by step; a rise in progress starts again. */
    public void startRamp(long nowNanos) {
        if (fixed) {
            return;
        }
        share = INITIAL_SHARE;
        roundStartNanos = nowNanos;
        badInRound = false;
    }

    /**
     * Returns the share of the requests that the endpoint gets now of those that it would get if it had been warm for
     * long; 1 if it is not ramping. Equal at hosts that saw the same start and no bad response.
     */
    public double share(long nowNanos) {
        while (roundStartNanos != NOT_RAMPING && nowNanos - roundStartNanos >= ROUND_NANOS) {
            share = badInRound ? Math.max(INITIAL_SHARE, share / SHARE_FACTOR) : share * SHARE_FACTOR;
            badInRound = false;
            roundStartNanos = share >= 1 ? NOT_RAMPING : roundStartNanos + ROUND_NANOS;
            share = Math.min(1, share);
        }
        return share;
    }

    /**
     * Records a response.
     *
     * @param relativeMillis its processing time as a multiple of that at warm endpoints
     * @param waiting requests in the endpoint's queue as it reported, 0 if unknown
     */
    public void responded(double relativeMillis, int waiting) {
        if (relativeMillis > SLOW_RATIO || waiting > 0) {
            slowDown(SLOW_FACTOR);
        } else if (!fixed) {
            rateFraction = Math.min(MAX_RATE_FRACTION, rateFraction + RATE_STEP_FRACTION);
        }
    }

    /** Records that the endpoint refused or failed a request. */
    public void refused() {
        slowDown(REFUSED_FACTOR);
    }

    private void slowDown(double factor) {
        if (fixed) {
            return;
        }
        rateFraction = Math.max(MIN_RATE_FRACTION, factor * rateFraction);
        badInRound = true;
    }
}
