package io.carawaylift.entry;

import io.carawaylift.model.ResultCode;
import java.util.Optional;
import okio.ByteString;

/** Result of one attempt to run a request. */
sealed interface AttemptResult {
    /** Returns the result code. */
    ResultCode code();

    /** Returns details for operators beyond the code, or an empty string. */
    String detail();

    /**
     * The upstream responded.
     *
     * @param declaredLength value of Content-Length in bytes, -1 if the header is absent
     * @param bufferedBody whole body, or its beginning if {@code remainingBody} is present
     * @param remainingBody body after {@code bufferedBody}; readable only until the receiver returns
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

        /** Returns this response with another code and endpoint. */
        Answered withCode(ResultCode newCode, String newEndpoint) {
            return new Answered(newCode, status, headers, declaredLength, bufferedBody, remainingBody, newEndpoint);
        }

        /** Returns this response with another source for the remaining body. */
        Answered withRemainingBody(BodySource newRemainingBody) {
            return new Answered(
                    code, status, headers, declaredLength, bufferedBody, Optional.of(newRemainingBody), endpoint);
        }
    }

    /**
     * No upstream ran the request.
     *
     * @param retryAfterMs delay before the caller should retry, in milliseconds
     * @param fromPeer whether another entry process refused the request; otherwise this process did not send it
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
