package io.carawaylift.testing.measure;

import io.carawaylift.model.Rank;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What one run showed in its measured interval. */
final class RunMetrics {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final ServiceSize size;
    private final long fromNanos = Traffic.WARM_UP_NANOS;
    private final long toNanos;
    private final Map<Rank, RankMetrics> ranks = new EnumMap<>(Rank.class);
    private double usefulNanos;
    private int peakInFlight;
    private long drainedAtNanos = -1;

    RunMetrics(ServiceSize size, long measuredNanos) {
        this.size = size;
        toNanos = fromNanos + measuredNanos;
        for (Rank rank : Rank.values()) {
            ranks.put(rank, new RankMetrics());
        }
    }

    void recordArrival(Request request) {
        if (request.measured()) {
            RankMetrics rank = ranks.get(request.rank());
            rank.offeredNanos += request.serviceNanos();
            if (request.flood()) {
                rank.floodOffered++;
            } else {
                rank.offered++;
            }
        }
    }

    void recordCompletion(Request request, long nowNanos) {
        RankMetrics rank = ranks.get(request.rank());
        double used = overlap(nowNanos - request.serviceNanos(), nowNanos);
        rank.usedNanos += used;
        boolean inTime = nowNanos <= request.deadlineNanos();
        if (inTime) {
            usefulNanos += used;
        }
        if (!request.measured()) {
            return;
        }
        if (request.flood()) {
            rank.floodInTime += inTime ? 1 : 0;
        } else {
            rank.inTime += inTime ? 1 : 0;
            rank.latency.recordValue((nowNanos - request.arrivalNanos()) / NANOS_PER_MICRO);
        }
    }

    void recordInFlight(int atEndpoint) {
        peakInFlight = Math.max(peakInFlight, atEndpoint);
    }

    /** Notes when the backlog of the measured interval is gone: at most one waiting request per slot. */
    void recordWaiting(int requests, long nowNanos) {
        if (nowNanos >= toNanos && drainedAtNanos < 0 && requests <= size.slots()) {
            drainedAtNanos = nowNanos;
        }
    }

    /** Returns the share of normal requests of a rank that were answered before their deadline, in percent. */
    double inTimePercent(Rank rank) {
        RankMetrics rankMetrics = ranks.get(rank);
        return 100.0 * rankMetrics.inTime / Math.max(1, rankMetrics.offered);
    }

    /** Returns the same for requests of the flood. */
    double floodInTimePercent(Rank rank) {
        RankMetrics rankMetrics = ranks.get(rank);
        return 100.0 * rankMetrics.floodInTime / Math.max(1, rankMetrics.floodOffered);
    }

    /** Returns the slot time of a rank relative to its floor, or to its offered work if that is less, in percent. */
    double floorKeptPercent(Rank rank) {
        RankMetrics rankMetrics = ranks.get(rank);
        double entitled = Math.min(size.floors().get(rank) * capacityNanos(), rankMetrics.offeredNanos);
        return 100.0 * rankMetrics.usedNanos / entitled;
    }

    /** Returns the slot time of work that was answered in time, relative to capacity, in percent. */
    double usefulPercent() {
        return 100.0 * usefulNanos / capacityNanos();
    }

    /** Returns a quantile of the latency of answered normal requests in milliseconds. */
    double latencyMs(Rank rank, double percentile) {
        return ranks.get(rank).latency.getValueAtPercentile(percentile) / 1_000.0;
    }

    /** Returns how long the backlog lasted after the measured interval, in seconds. */
    double drainSeconds() {
        return (drainedAtNanos - toNanos) / (double) Traffic.NANOS_PER_SECOND;
    }

    int peakInFlight() {
        return peakInFlight;
    }

    private double capacityNanos() {
        return (double) size.slots() * (toNanos - fromNanos);
    }

    private double overlap(long start, long end) {
        return Math.max(0, Math.min(end, toNanos) - Math.max(start, fromNanos));
    }

    private static final class RankMetrics {
        private final Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
        private long offered;
        private long inTime;
        private long floodOffered;
        private long floodInTime;
        private double offeredNanos;
        private double usedNanos;
    }
}
