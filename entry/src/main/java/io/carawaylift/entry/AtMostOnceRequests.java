package io.carawaylift.entry;

import io.carawaylift.decisions.once.AtMostOnceLedger;
import io.carawaylift.decisions.once.AttemptDecision;
import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.entry.AttemptResult.Unknown;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.Ticket;
import io.netty.util.HashedWheelTimer;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import okio.ByteString;

/**
 * Guards the at-most-once ledger of this process with a lock and keeps the attempts that wait for the result of a
 * ticket. Thread-safe.
 */
final class AtMostOnceRequests {
    private static final int NONCE_BYTES = 16;
    private static final int NOT_KEPT_STATUS = ResultCode.ANSWER_NOT_KEPT.httpStatus();

    private final Object lock = new Object();
    private final AtMostOnceLedger<Waiter, Answered> ledger;
    private final LongSupplier clock;
    private final HashedWheelTimer timer;
    private final SecureRandom random = new SecureRandom();

    AtMostOnceRequests(EntryProcess self, LongSupplier clock, HashedWheelTimer timer) {
        this.clock = clock;
        this.timer = timer;
        this.ledger = AtMostOnceLedger.<Waiter, Answered>builder()
                .self(self)
                .startNanos(clock.getAsLong())
                .build();
    }

    /** Returns new tickets. */
    List<Ticket> issue(int count) {
        List<String> nonces = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            byte[] nonce = new byte[NONCE_BYTES];
            random.nextBytes(nonce);
            nonces.add(HexFormat.of().formatHex(nonce));
        }
        synchronized (lock) {
            return ledger.issue(nonces, clock.getAsLong());
        }
    }

    /**
     * Makes an attempt with a ticket that this process issued.
     *
     * @param executions creates the execution if this attempt runs the request; its receiver must get one result
     * @return the action to run when the caller disconnects
     */
    Runnable attempt(
            Ticket ticket,
            InboundRequest request,
            ResultReceiver receiver,
            Function<ResultReceiver, RequestExecution> executions) {
        Waiter waiter = new Waiter(receiver);
        AttemptDecision<Answered> attempt;
        synchronized (lock) {
            attempt = ledger.attempt(ticket, waiter, clock.getAsLong());
        }
        switch (attempt.step()) {
            case FINISHED -> waiter.accept(finishedResult(attempt));
            case JOINED -> {
                waiter.joined = true;
                scheduleTimeout(ticket, waiter, request);
                return () -> removeWaiter(ticket, waiter);
            }
            case RUN -> {
                RequestExecution execution = executions.apply(result -> finished(ticket, waiter, result));
                execution.start();
                return () -> {
                    if (removeWaiter(ticket, waiter)) {
                        execution.cancelQueued();
                    }
                };
            }
        }
        return () -> {};
    }

    /** Removes a waiter; returns whether the ticket is still pending and has no other waiter. */
    private boolean removeWaiter(Ticket ticket, Waiter waiter) {
        waiter.discard();
        synchronized (lock) {
            return ledger.removeWaiter(ticket, waiter);
        }
    }

    /** Ends a joined attempt at its own deadline, which can be earlier than that of the running one. */
    private void scheduleTimeout(Ticket ticket, Waiter waiter, InboundRequest request) {
        long remainingNanos = Math.max(1, request.deadlineNanos() - clock.getAsLong());
        timer.newTimeout(
                timeout -> {
                    synchronized (lock) {
                        ledger.removeWaiter(ticket, waiter);
                    }
                    waiter.accept(new Unknown(ResultCode.TIMED_OUT, "an earlier attempt with this ticket is running"));
                },
                remainingNanos,
                TimeUnit.NANOSECONDS);
    }

    private void finished(Ticket ticket, Waiter runner, AttemptResult result) {
        if (result instanceof Answered answered && answered.remainingBody().isPresent()) {
            finishStreamed(ticket, runner, answered);
            return;
        }
        List<Waiter> waiters;
        synchronized (lock) {
            waiters = record(ticket, result);
        }
        for (Waiter waiter : waiters) {
            waiter.accept(waiter.joined ? replayed(result) : result);
        }
    }

    private List<Waiter> record(Ticket ticket, AttemptResult result) {
        if (result instanceof Refused) {
            return ledger.notRun(ticket);
        }
        if (result instanceof Unknown unknown) {
            return ledger.unknown(ticket, unknown.code());
        }
        Answered answered = (Answered) result;
        long bytes = (long) answered.bufferedBody().size() + answered.headers().wireBytes();
        return ledger.answered(ticket, answered, bytes);
    }

    /** Streams the body to the attempt that ran the request; joined attempts only learn that there was a response. */
    private void finishStreamed(Ticket ticket, Waiter runner, Answered answered) {
        ObservedBody body = new ObservedBody(answered.remainingBody().orElseThrow());
        try {
            runner.accept(answered.withRemainingBody(body));
        } finally {
            List<Waiter> waiters;
            synchronized (lock) {
                waiters = body.hasFailed()
                        ? ledger.unknown(ticket, ResultCode.ANSWER_CUT)
                        : ledger.answeredWithoutStoring(ticket);
            }
            AttemptResult joinedResult = body.hasFailed() ? new Unknown(ResultCode.ANSWER_CUT, "") : responseNotKept();
            waiters.forEach(waiter -> waiter.accept(joinedResult));
        }
    }

    private static AttemptResult replayed(AttemptResult result) {
        return result instanceof Answered answered
                ? answered.withCode(ResultCode.REPLAYED, answered.endpoint())
                : result;
    }

    private static AttemptResult finishedResult(AttemptDecision<Answered> attempt) {
        ResultCode code = attempt.code();
        if (attempt.response().isPresent()) {
            return replayed(attempt.response().get());
        }
        return switch (code.outcome()) {
            case ANSWERED -> responseNotKept();
            case UNKNOWN -> new Unknown(code, "result of an earlier attempt with this ticket");
            default -> Refused.of(code, "");
        };
    }

    private static AttemptResult responseNotKept() {
        ResultCode code = ResultCode.ANSWER_NOT_KEPT;
        HeaderList headers = new HeaderList(List.of(new HeaderField("Content-Type", "application/json")));
        ByteString body = OwnResponses.json(new OwnResponses.Body(code.number(), code.meaning(), "", ""));
        return new Answered(code, NOT_KEPT_STATUS, headers, body.size(), body, Optional.empty(), "");
    }

    /** An attempt that waits for a result and receives at most one. */
    private static final class Waiter {
        private final ResultReceiver receiver;
        private volatile boolean joined;
        private boolean completed;

        Waiter(ResultReceiver receiver) {
            this.receiver = receiver;
        }

        void accept(AttemptResult result) {
            synchronized (this) {
                if (completed) {
                    return;
                }
                completed = true;
            }
            receiver.accept(result);
        }

        synchronized void discard() {
            completed = true;
        }
    }
}
