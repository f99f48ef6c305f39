package io.carawaylift.entry;

import io.carawaylift.entry.DecisionRecord.AttemptRecord;
import io.carawaylift.model.Outcome;
import io.carawaylift.model.Rank;
import io.carawaylift.model.ResultCode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** Collects the decisions about one request and adds them to the log once, when the response ends. Thread-safe. */
final class RequestTrace {
    private static final double NANOS_PER_MILLI = 1e6;

    private final String id;
    private final int hop;
    private final DecisionLog log;
    private final LongSupplier clock;
    private final long startNanos;
    private final Instant arrivedAt = Instant.now();
    private final List<AttemptRecord> attempts = new ArrayList<>();
    private String service = "";
    private Rank rank = Rank.STANDARD;
    private String customer = "";
    private boolean finished;

    RequestTrace(String id, int hop, DecisionLog log, LongSupplier clock) {
        this.id = id;
        this.hop = hop;
        this.log = log;
        this.clock = clock;
        this.startNanos = clock.getAsLong();
    }

    String id() {
        return id;
    }

    int hop() {
        return hop;
    }

    synchronized void setRequest(InboundRequest request) {
        service = request.service();
        rank = request.rank();
        customer = request.customer();
    }

    synchronized void addAttempt(OwnerRoute route, long waitNanos, AttemptResult result) {
        String endpoint = result instanceof AttemptResult.Answered answered ? answered.endpoint() : "";
        attempts.add(new AttemptRecord(
                route.upstream(),
                route.owner().toString(),
                endpoint,
                waitNanos / NANOS_PER_MILLI,
                result.code().number(),
                result.detail()));
    }

    /** Adds the request to the log; later calls do nothing. */
    void finish(ResultCode code, String reason) {
        long nanos = clock.getAsLong() - startNanos;
        DecisionRecord record;
        synchronized (this) {
            if (finished) {
                return;
            }
            finished = true;
            record = new DecisionRecord(
                    id,
                    arrivedAt.toString(),
                    service,
                    rank.label(),
                    customer,
                    hop,
                    code.number(),
                    outcome(code),
                    reason,
                    nanos / NANOS_PER_MILLI,
                    attempts);
        }
        log.add(record, code, rank, nanos);
    }

    private static String outcome(ResultCode code) {
        Outcome outcome = code.outcome();
        return switch (outcome) {
            case ANSWERED -> "answered";
            case NOT_RUN -> "not-run";
            case UNKNOWN -> "unknown";
            case NOT_A_REQUEST -> "internal";
        };
    }
}
