package io.carawaylift.decisions.once;

import io.carawaylift.model.ResultCode;
import java.util.ArrayList;
import java.util.List;

/** State of one ticket in an {@link AtMostOnceLedger}. */
final class LedgerEntry<W, R> {
    private enum State {
        PENDING,
        NOT_RUN,
        ANSWERED,
        UNKNOWN
    }

    private State state = State.PENDING;
    private final List<W> waiters = new ArrayList<>();
    private ResultCode unknownCode;
    private R response;
    private long responseBytes;

    boolean isPending() {
        return state == State.PENDING;
    }

    boolean isNotRun() {
        return state == State.NOT_RUN;
    }

    void join(W waiter) {
        waiters.add(waiter);
    }

    boolean removeWaiter(W waiter) {
        waiters.remove(waiter);
        return waiters.isEmpty();
    }

    void restart() {
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

    void storeResponse(R value, long bytes) {
        response = value;
        responseBytes = bytes;
    }

    /** Drops the stored response and returns its size in bytes, 0 if there is none. */
    long dropResponse() {
        long bytes = responseBytes;
        response = null;
        responseBytes = 0;
        return bytes;
    }

    /** Returns the result of a ticket that is neither pending nor allowed to run again. */
    AttemptDecision<R> result() {
        if (state == State.UNKNOWN) {
            return AttemptDecision.finished(unknownCode);
        }
        return response == null
                ? AttemptDecision.finished(ResultCode.ANSWER_NOT_KEPT)
                : AttemptDecision.replayed(response);
    }

    private List<W> takeWaiters() {
        List<W> taken = List.copyOf(waiters);
        waiters.clear();
        return taken;
    }
}
