package io.carawaylift.testing.upstream;

import io.carawaylift.testing.http.HttpExchange;
import java.util.concurrent.atomic.AtomicLong;

/** Faults of one endpoint. Thread-safe. */
final class EndpointFaults {
    private final AtomicLong answersToDrop = new AtomicLong();
    private final AtomicLong bodiesToCut = new AtomicLong();
    private volatile boolean silent;
    private volatile boolean shedding;
    private volatile long slowFactor = 1;
    private volatile long reportedLoad = -1;

    boolean silent() {
        return silent;
    }

    boolean shedding() {
        return shedding;
    }

    long slowFactor() {
        return slowFactor;
    }

    /** Returns the number of requests that the load report claims, -1 for the (lagging) truth. */
    long reportedLoad() {
        return reportedLoad;
    }

    boolean takeDroppedAnswer() {
        return take(answersToDrop);
    }

    boolean takeCutBody() {
        return take(bodiesToCut);
    }

    /** Sets the faults named by the query; others stay as they are. */
    void set(HttpExchange request) {
        request.parameter("silent").ifPresent(text -> silent = Boolean.parseBoolean(text));
        request.parameter("shed").ifPresent(text -> shedding = Boolean.parseBoolean(text));
        slowFactor = request.number("slowFactor", slowFactor);
        reportedLoad = request.number("reportedLoad", reportedLoad);
        request.parameter("dropAnswers").ifPresent(text -> answersToDrop.set(Long.parseLong(text)));
        request.parameter("cutBodies").ifPresent(text -> bodiesToCut.set(Long.parseLong(text)));
    }

    private static boolean take(AtomicLong counter) {
        return counter.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }
}
