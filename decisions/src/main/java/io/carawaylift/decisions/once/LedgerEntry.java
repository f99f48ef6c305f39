package io.carawaylift.decisions.once;

import io.carawaylift.model.ResultCode;
import java.util.ArrayList;
import java.util.List;

/** What the ledger knows of one ticket. */
final class LedgerEntry<W, A> {
    private enum State {
        PENDING,
        NOT_RUN,
        ANSWERED,
        UNKNOWN
    }

    private State state = State.PENDING;
    private final List<W> waiters = new ArrayList<>();
    private ResultCode unknownCode;
    private A answer;
    private long answerBytes;

    boolean isPending() {
        return state == State.PENDING;
    }

    boolean isNotRun() {
        return state == State.NOT_RUN;
    }

    void join(W waiter) {
        waiters.add(waiter);
    }

    boolean leave(W waiter) {
        waiters.remove(waiter);
        return waiters.isEmpty();
    }

    void runAgain() {
        state = State.PENDING;
    }

    List<W> notRun() {
        state = State.NOT_RUN;
        return takeWaiters();
    }

    List<W> unknown(ResultCode code) {
        state = State.UNKNOWN;
        unknownCode = code;
        return takeWaiters();
    }

    List<W> answered() {
        state = State.ANSWERED;
        return takeWaiters();
    }

    void keep(A value, long bytes) {
        answer = value;
        answerBytes = bytes;
    }

    /** Drops the kept answer and returns its size. */
    long dropAnswer() {
        long bytes = answerBytes;
        answer = null;
        answerBytes = 0;
        return bytes;
    }

    /** Returns the result of a ticket that is neither pending nor free to run. */
    Attempt<A> result() {
        if (state == State.UNKNOWN) {
            return Attempt.finished(unknownCode);
        }
        return answer == null ? Attempt.finished(ResultCode.ANSWER_NOT_KEPT) : Attempt.replayed(answer);
    }

    private List<W> takeWaiters() {
        List<W> taken = List.copyOf(waiters);
        waiters.clear();
        return taken;
    }
}
