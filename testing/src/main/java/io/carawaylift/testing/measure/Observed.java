package io.carawaylift.testing.measure;

import io.carawaylift.model.Rank;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What one run showed in its measured interval. */
final class Observed {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int DIGITS = 3;

    private final Size size;
    private final long fromNanos = Traffic.WARM_UP_NANOS;
    private final long toNanos;
    private final Map<Rank, ByRank> ranks = new EnumMap<>(Rank.class);
    private double usefulNanos;
    private int peakInFlight;
    private long drainedAtNanos = -1;

    Observed(Size size, long measuredNanos) {
        this.size = size;
        toNanos = fromNanos + measuredNanos;
        for (Rank rank : Rank.values()) {
            ranks.put(rank, new ByRank());
        }
    }

    void offered(Request request) {
        if (request.measured()) {
            ByRank rank = ranks.get(request.rank());
            rank.offeredNanos += request.serviceNanos();
            if (request.flood()) {
                rank.floodOffered++;
            } else {
                rank.offered++;
            }
        }
    }

    void finished(Request request, long nowNanos) {
        ByRank rank = ranks.get(request.rank());
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

    void inFlight(int atEndpoint) {
        peakInFlight = Math.max(peakInFlight, atEndpoint);
    }

    /** Notes when the backlog of the measured interval is gone: at most one waiting request per slot. */
    void waiting(int requests, long nowNanos) {
        if (nowNanos >= toNanos && drainedAtNanos < 0 && requests <= size.slots()) {
            drainedAtNanos = nowNanos;
        }
    }

    /** Returns the share of normal requests of a rank that were answered before their deadline, in percent. */
    double inTimePercent(Rank rank) {
        ByRank seen = ranks.get(rank);
        return 100.0 * seen.inTime / Math.max(1, seen.offered);
    }

    /** Returns the same for requests of the flood. */
    double floodInTimePercent(Rank rank) {
        ByRank seen = ranks.get(rank);
        return 100.0 * seen.floodInTime / Math.max(1, seen.floodOffered);
    }

    /** Returns the slot time of a rank relative to its floor, or to its offered work if that is less, in percent. */
    double floorKeptPercent(Rank rank) {
        ByRank seen = ranks.get(rank);
        double entitled = Math.min(size.floors().get(rank) * capacityNanos(), seen.offeredNanos);
        return 100.0 * seen.usedNanos / entitled;
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
        return (drainedAtNanos - toNanos) / (double) Traffic.SECOND;
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

    private static final class ByRank {
        private final Histogram latency = new Histogram(DIGITS);
        private long offered;
        private long inTime;
        private long floodOffered;
        private long floodInTime;
        private double offeredNanos;
        private double usedNanos;
    }
}
