package io.carawaylift.entry;

import io.carawaylift.model.ResultCode;
import java.util.Optional;

/**
 * Progress of an outbound call, from which the result of a failed call is derived. Written by the call's thread; the
 * flags also by the timer and by the thread that cancels.
 */
final class CallProgress {
    private final OutboundRequest request;
    private volatile boolean sent;
    private volatile boolean timedOut;
    private volatile boolean cancelled;
    private volatile int status;
    private volatile AttemptResult.Refused refusal;

    CallProgress(OutboundRequest request) {
        this.request = request;
    }

    OutboundRequest request() {
        return request;
    }

    /** Runs the pre-send check; returns whether the request may be sent. */
    boolean checkBeforeSend(long nowNanos) {
        Optional<AttemptResult.Refused> rejection = nowNanos >= request.deadlineNanos()
                ? Optional.of(AttemptResult.Refused.of(ResultCode.EXPIRED_IN_QUEUE, "deadline passed before sending"))
                : request.preSendCheck().check(nowNanos);
        refusal = rejection.orElse(null);
        sent = rejection.isEmpty();
        return sent;
    }

    void statusReceived(int httpStatus) {
        status = httpStatus;
    }

    int status() {
        return status;
    }

    void markTimedOut() {
        timedOut = true;
    }

    void markCancelled() {
        cancelled = true;
    }

    /** Returns the result of a call that ended with an exception. */
    AttemptResult failure(Exception exception) {
        if (refusal != null) {
            return refusal;
        }
        String detail = request.url() + ": " + exception;
        return sent
                ? new AttemptResult.Unknown(unknownCode(), detail)
                : AttemptResult.Refused.of(notSentCode(), detail);
    }

    private ResultCode notSentCode() {
        if (cancelled) {
            return ResultCode.CANCELLED_IN_QUEUE;
        }
        return timedOut ? ResultCode.EXPIRED_IN_QUEUE : ResultCode.CONNECT_FAILED;
    }

    private ResultCode unknownCode() {
        if (timedOut) {
            return ResultCode.TIMED_OUT;
        }
        return status == 0 ? ResultCode.CONNECTION_LOST : ResultCode.ANSWER_CUT;
    }
}
