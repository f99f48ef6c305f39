package io.carawaylift.entry;

import io.carawaylift.model.ResultCode;
import java.util.Optional;
import okio.ByteString;

/** How one attempt at a request ended. */
sealed interface AttemptResult {
    /** Returns the result code. */
    ResultCode code();

    /** Returns what an operator should know beyond the code. */
    String detail();

    /**
     * The upstream answered.
     *
     * @param declaredLength value of Content-Length, -1 if there is none
     * @param bufferedBody whole body, or its first part if {@code remainingBody} is present
     * @param remainingBody what follows {@code bufferedBody}; valid only while the receiver is called
     * @param endpoint id of the endpoint, empty if unknown
     */
    record Answered(
            ResultCode code,
            int status,
            HeaderList headers,
            long declaredLength,
            ByteString bufferedBody,
            Optional<BodySource> remainingBody,
            String endpoint)
            implements AttemptResult {
        @Override
        public String detail() {
            return "";
        }

        /** Returns this answer under another code or endpoint. */
        Answered withCode(ResultCode newCode, String newEndpoint) {
            return new Answered(newCode, status, headers, declaredLength, bufferedBody, remainingBody, newEndpoint);
        }

        /** Returns this answer with its rest read through another source. */
        Answered withRemainingBody(BodySource newRemainingBody) {
            return new Answered(
                    code, status, headers, declaredLength, bufferedBody, Optional.of(newRemainingBody), endpoint);
        }
    }

    /**
     * No upstream ran the request.
     *
     * @param retryAfterMs when the caller should try again, in milliseconds
     * @param byPeer whether another entry process said so; otherwise this process did not send the request
     */
    record Refused(ResultCode code, String detail, long retryAfterMs, boolean fromPeer) implements AttemptResult {
        private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

        static Refused of(ResultCode code, String detail) {
            return new Refused(code, detail, DEFAULT_RETRY_AFTER_MILLIS, false);
        }
    }

    /** The request may have run. */
    record Unknown(ResultCode code, String detail) implements AttemptResult {}
}
