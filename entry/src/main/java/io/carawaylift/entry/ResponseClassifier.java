package io.carawaylift.entry;

import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.entry.AttemptResult.Unknown;
import io.carawaylift.model.Headers;
import io.carawaylift.model.ResultCode;
import java.util.Optional;

/** Derives the outcome of a request from its HTTP response. */
final class ResponseClassifier {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long MILLIS_PER_SECOND = 1_000;

    private ResponseClassifier() {}

    /** Classifies a response of an endpoint. */
    static AttemptResult ofEndpoint(AttemptResult result, String endpoint) {
        if (!(result instanceof Answered answered)) {
            return result;
        }
        if (answered.status() == SERVICE_UNAVAILABLE && answered.headers().saysNotRun()) {
            return new Refused(ResultCode.UPSTREAM_REFUSED, "endpoint " + endpoint, retryAfterMs(answered), false);
        }
        return answered.withCode(ResultCode.ANSWERED, endpoint);
    }

    /** Classifies a response of another entry process, which carries a result code. */
    static AttemptResult ofEntry(AttemptResult result) {
        if (!(result instanceof Answered answered)) {
            return result;
        }
        Optional<ResultCode> code = answered.headers().first(Headers.CODE).flatMap(ResponseClassifier::code);
        String detail = answered.headers().first(Headers.DETAIL).orElse("");
        if (code.isEmpty()) {
            return new Unknown(ResultCode.CONNECTION_LOST, "answer of an entry process without a result code");
        }
        return switch (code.get().outcome()) {
            case ANSWERED ->
                answered.withCode(
                        code.get(), answered.headers().first(Headers.ENDPOINT).orElse(""));
            case NOT_RUN -> new Refused(code.get(), detail, retryAfterMs(answered), true);
            case UNKNOWN -> new Unknown(code.get(), detail);
            case NOT_A_REQUEST -> new Unknown(ResultCode.CONNECTION_LOST, detail);
        };
    }

    private static Optional<ResultCode> code(String number) {
        try {
            return ResultCode.ofNumber(Integer.parseInt(number));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static long retryAfterMs(Answered answered) {
        try {
            return Math.max(
                            1,
                            Long.parseLong(
                                    answered.headers().first("Retry-After").orElse("1")))
                    * MILLIS_PER_SECOND;
        } catch (NumberFormatException e) {
            return MILLIS_PER_SECOND;
        }
    }
}
