package io.carawaylift.testing.upstream;

import io.carawaylift.testing.http.HttpExchange;
import java.util.concurrent.atomic.AtomicLong;

/** Active faults of one endpoint, which the control interface sets. Thread-safe. */
final class EndpointFaults {
    private final AtomicLong responsesToDrop = new AtomicLong();
    private final AtomicLong bodiesToTruncate = new AtomicLong();
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

    /** Returns the load that the load report must claim, or -1 to report the actual (delayed) load. */
    long reportedLoad() {
        return reportedLoad;
    }

    boolean takeDroppedResponse() {
        return decrementIfPositive(responsesToDrop);
    }

    boolean takeTruncatedBody() {
        return decrementIfPositive(bodiesToTruncate);
    }

    /** Sets the faults that the query names and leaves the others unchanged. */
    void set(HttpExchange request) {
        request.parameter("silent").ifPresent(text -> silent = Boolean.parseBoolean(text));
        request.parameter("shed").ifPresent(text -> shedding = Boolean.parseBoolean(text));
        slowFactor = request.number("slowFactor", slowFactor);
        reportedLoad = request.number("reportedLoad", reportedLoad);
        request.parameter("dropAnswers").ifPresent(text -> responsesToDrop.set(Long.parseLong(text)));
        request.parameter("cutBodies").ifPresent(text -> bodiesToTruncate.set(Long.parseLong(text)));
    }

    private static boolean decrementIfPositive(AtomicLong counter) {
        return counter.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
    }
}
