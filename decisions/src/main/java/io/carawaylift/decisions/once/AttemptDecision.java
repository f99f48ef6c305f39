package io.carawaylift.decisions.once;

import io.carawaylift.model.ResultCode;
import java.util.Objects;
import java.util.Optional;

/**
 * What an attempt with a ticket must do.
 *
 * @param step what to do next
 * @param code result for the caller if the step is {@link Step#FINISHED}, otherwise {@link ResultCode#ANSWERED}
 * @param response kept answer if the code is {@link ResultCode#REPLAYED}
 */
public record AttemptDecision<R>(Step step, ResultCode code, Optional<R> response) {
    /** What the process does with the attempt. */
    public enum Step {
        /** The attempt runs the request, and its result must be reported to the ledger. */
        RUN,
        /** Another attempt runs the request; this one receives the same result. */
        JOINED,
        /** The result is known already. */
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
