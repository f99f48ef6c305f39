package io.carawaylift.entry;

import io.carawaylift.decisions.once.Attempt;
import io.carawaylift.decisions.once.OnceLedger;
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

/** The once-only ledger of this process under its lock, and the attempts that wait for its tickets. Thread-safe. */
final class AtMostOnceRequests {
    private static final int NONCE_BYTES = 16;
    private static final int CONFLICT = ResultCode.ANSWER_NOT_KEPT.httpStatus();

    private final Object lock = new Object();
    private final OnceLedger<Waiter, Answered> ledger;
    private final LongSupplier clock;
    private final HashedWheelTimer timer;
    private final SecureRandom random = new SecureRandom();

    AtMostOnceRequests(EntryProcess self, LongSupplier clock, HashedWheelTimer timer) {
        this.clock = clock;
        this.timer = timer;
        this.ledger = OnceLedger.<Waiter, Answered>builder()
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
     * Makes an attempt with a ticket of this process.
     *
     * @param runs creates the run if this attempt is the one that runs the request; its receiver must get one result
     * @return what to do when the caller leaves
     */
    Runnable attempt(
            Ticket ticket,
            InboundRequest request,
            ResultReceiver receiver,
            Function<ResultReceiver, RequestExecution> runs) {
        Waiter waiter = new Waiter(receiver);
        Attempt<Answered> attempt;
        synchronized (lock) {
            attempt = ledger.attempt(ticket, waiter, clock.getAsLong());
        }
        switch (attempt.step()) {
            case FINISHED -> waiter.accept(result(attempt));
            case JOINED -> {
                waiter.joined = true;
                expire(ticket, waiter, request);
                return () -> leave(ticket, waiter);
            }
            case RUN -> {
                RequestExecution run = runs.apply(result -> finished(ticket, waiter, result));
                run.start();
                return () -> {
                    if (leave(ticket, waiter)) {
                        run.cancelQueued();
                    }
                };
            }
        }
        return () -> {};
    }

    /** Removes a waiter; returns whether the ticket is pending and nobody waits for its result any more. */
    private boolean leave(Ticket ticket, Waiter waiter) {
        waiter.leave();
        synchronized (lock) {
            return ledger.leave(ticket, waiter);
        }
    }

    /** A joined attempt has a deadline of its own. */
    private void expire(Ticket ticket, Waiter waiter, InboundRequest request) {
        long left = Math.max(1, request.deadlineNanos() - clock.getAsLong());
        timer.newTimeout(
                timeout -> {
                    synchronized (lock) {
                        ledger.leave(ticket, waiter);
                    }
                    waiter.accept(new Unknown(ResultCode.TIMED_OUT, "an earlier attempt with this ticket is running"));
                },
                left,
                TimeUnit.NANOSECONDS);
    }

    private void finished(Ticket ticket, Waiter runner, AttemptResult result) {
        if (result instanceof Answered answer && answer.remainingBody().isPresent()) {
            streamed(ticket, runner, answer);
            return;
        }
        List<Waiter> waiters;
        synchronized (lock) {
            waiters = record(ticket, result);
        }
        for (Waiter waiter : waiters) {
            waiter.accept(waiter.joined ? repeated(result) : result);
        }
    }

    private List<Waiter> record(Ticket ticket, AttemptResult result) {
        if (result instanceof Refused) {
            return ledger.notRun(ticket);
        }
        if (result instanceof Unknown unknown) {
            return ledger.unknown(ticket, unknown.code());
        }
        Answered answer = (Answered) result;
        long bytes = (long) answer.bufferedBody().size() + answer.headers().wireBytes();
        return ledger.answered(ticket, answer, bytes);
    }

    /** The attempt that ran the request gets the stream; the others learn only that it was answered. */
    private void streamed(Ticket ticket, Waiter runner, Answered answer) {
        ObservedBody body = new ObservedBody(answer.remainingBody().orElseThrow());
        try {
            runner.accept(answer.withRemainingBody(body));
        } finally {
            List<Waiter> waiters;
            synchronized (lock) {
                waiters = body.hasFailed()
                        ? ledger.unknown(ticket, ResultCode.ANSWER_CUT)
                        : ledger.answeredWithoutKeeping(ticket);
            }
            AttemptResult others = body.hasFailed() ? new Unknown(ResultCode.ANSWER_CUT, "") : notKept();
            waiters.forEach(waiter -> waiter.accept(others));
        }
    }

    private static AttemptResult repeated(AttemptResult result) {
        return result instanceof Answered answer ? answer.withCode(ResultCode.REPLAYED, answer.endpoint()) : result;
    }

    private static AttemptResult result(Attempt<Answered> attempt) {
        ResultCode code = attempt.code();
        if (attempt.answer().isPresent()) {
            return repeated(attempt.answer().get());
        }
        return switch (code.outcome()) {
            case ANSWERED -> notKept();
            case UNKNOWN -> new Unknown(code, "result of an earlier attempt with this ticket");
            default -> Refused.of(code, "");
        };
    }

    private static AttemptResult notKept() {
        ResultCode code = ResultCode.ANSWER_NOT_KEPT;
        HeaderList headers = new HeaderList(List.of(new HeaderField("Content-Type", "application/json")));
        ByteString body = OwnResponses.json(new OwnResponses.Body(code.number(), code.meaning(), "", ""));
        return new Answered(code, CONFLICT, headers, body.size(), body, Optional.empty(), "");
    }

    /** An attempt that waits for a result and gets at most one. */
    private static final class Waiter {
        private final ResultReceiver receiver;
        private volatile boolean joined;
        private boolean done;

        Waiter(ResultReceiver receiver) {
            this.receiver = receiver;
        }

        void accept(AttemptResult result) {
            synchronized (this) {
                if (done) {
                    return;
                }
                done = true;
            }
            receiver.accept(result);
        }

        synchronized void leave() {
            done = true;
        }
    }
}
