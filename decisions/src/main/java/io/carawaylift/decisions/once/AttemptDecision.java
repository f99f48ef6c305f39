package io.carawaylift.decisions.once;

import io.carawaylift.model.ResultCode;
import java.util.Objects;
import java.util.Optional;

/**
 * Decision of {@link AtMostOnceLedger#attempt} on an attempt with a ticket.
 *
 * @param step what the entry process does next
 * @param code result for the caller if the step is {@link Step#FINISHED}, otherwise {@link ResultCode#ANSWERED}
 * @param response stored response if the code is {@link ResultCode#REPLAYED}, otherwise empty
 */
public record AttemptDecision<R>(Step step, ResultCode code, Optional<R> response) {
    /** What the entry process does with an attempt. */
    public enum Step {
        /** Runs the request; its result must be reported to the ledger. */
        RUN,
        /** Waits for another attempt that runs the request, and receives its result. */
        JOINED,
        /** Returns the result, which is already known. */
        FINISHED
    }

    public AttemptDecision {
        Objects.requireNonNull(step, "step");
        Objects.requireNonNull(code, "code");
    }

    static <R> AttemptDecision<R> run() {
        return new AttemptDecision<>(Step.RUN, ResultCode.ANSWERED, Optional.empty());
    }

    static <R> AttemptDecision<R> joined() {
        return new AttemptDecision<>(Step.JOINED, ResultCode.ANSWERED, Optional.empty());
    }

    static <R> AttemptDecision<R> finished(ResultCode code) {
        return new AttemptDecision<>(Step.FINISHED, code, Optional.empty());
    }

    static <R> AttemptDecision<R> replayed(R response) {
        return new AttemptDecision<>(Step.FINISHED, ResultCode.REPLAYED, Optional.of(response));
    }
}
