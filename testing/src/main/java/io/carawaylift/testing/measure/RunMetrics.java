package io.carawaylift.testing.measure;

import io.carawaylift.model.Rank;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Collects the metrics of one run in its measured interval. Percentages are from 0 to 100. */
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

    /** Records when the backlog of the measured interval has drained, that is, at most one request per slot is waiting. */
    void recordWaiting(int requests, long nowNanos) {
        if (nowNanos >= toNanos && drainedAtNanos < 0 && requests <= size.slots()) {
            drainedAtNanos = nowNanos;
        }
    }

    /** Returns the percentage of the normal requests of a rank that were answered before their deadline. */
    double inTimePercent(Rank rank) {
        RankMetrics rankMetrics = ranks.get(rank);
        return 100.0 * rankMetrics.inTime / Math.max(1, rankMetrics.offered);
    }

    /** Returns the percentage of the flood requests of a rank that were answered before their deadline. */
    double floodInTimePercent(Rank rank) {
        RankMetrics rankMetrics = ranks.get(rank);
        return 100.0 * rankMetrics.floodInTime / Math.max(1, rankMetrics.floodOffered);
    }

    /** Returns the slot time of a rank as a percentage of its floor, or of its offered work if that is less. */
    double floorKeptPercent(Rank rank) {
        RankMetrics rankMetrics = ranks.get(rank);
        double entitled = Math.min(size.floors().get(rank) * capacityNanos(), rankMetrics.offeredNanos);
        return 100.0 * rankMetrics.usedNanos / entitled;
    }

    /** Returns the slot time of requests that were answered before their deadline, as a percentage of the capacity. */
    double usefulPercent() {
        return 100.0 * usefulNanos / capacityNanos();
    }

    /** Returns a percentile (0 to 100) of the latency of answered normal requests, in milliseconds. */
    double latencyMs(Rank rank, double percentile) {
        return ranks.get(rank).latency.getValueAtPercentile(percentile) / 1_000.0;
    }

    /** Returns how many seconds after the measured interval the backlog had drained. */
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
