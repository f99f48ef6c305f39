package io.carawaylift.decisions.once;

import io.carawaylift.model.ResultCode;
import java.util.Objects;
import java.util.Optional;

/**
 * What an attempt with a ticket must do.
 *
 * @param step what to do next
 * @param code result for the caller if the step is {@link Step#FINISHED}, otherwise {@link ResultCode#ANSWERED}
 * @param answer kept answer if the code is {@link ResultCode#REPLAYED}
 */
public record Attempt<A>(Step step, ResultCode code, Optional<A> answer) {
    /** What the process does with the attempt. */
    public enum Step {
        /** The attempt runs the request, and its result must be reported to the ledger. */
        RUN,
        /** Another attempt runs the request; this one receives the same result. */
        JOINED,
        /** The result is known already. */
        FINISHED
    }

    public Attempt {
        Objects.requireNonNull(step, "step");
        Objects.requireNonNull(code, "code");
    }

    static <A> Attempt<A> run() {
        return new Attempt<>(Step.RUN, ResultCode.ANSWERED, Optional.empty());
    }

    static <A> Attempt<A> joined() {
        return new Attempt<>(Step.JOINED, ResultCode.ANSWERED, Optional.empty());
    }

    static <A> Attempt<A> finished(ResultCode code) {
        return new Attempt<>(Step.FINISHED, code, Optional.empty());
    }

    static <A> Attempt<A> replayed(A answer) {
        return new Attempt<>(Step.FINISHED, ResultCode.REPLAYED, Optional.of(answer));
    }
}
