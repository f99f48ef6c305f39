package io.carawaylift.testing.caller;

import io.carawaylift.model.Outcome;

/**
 * Result of one call over all of its attempts.
 *
 * @param path path that the upstream receives; the endpoints count runs by this path
 * @param outcome outcome over all attempts
 * @param code result code of the last response, 0 if no attempt received one
 * @param status HTTP status of the last response, 0 if none
 * @param attempts requests sent, without requests for tickets
 * @param cutAttempts attempts whose connection failed after it was established
 * @param refusedConnections attempts that could not connect, and failed requests for tickets
 * @param content result of the check of the response's content
 * @param requestId request id of the last response, empty if none
 */
public record CallResult(
        String path,
        Outcome outcome,
        int code,
        int status,
        int attempts,
        int cutAttempts,
        int refusedConnections,
        Content content,
        String requestId) {
    /** Result of checking the content of a response. */
    public enum Content {
        /** Complete, and the content of this request. */
        CORRECT,
        /** Fewer bytes than requested, in a response that looked complete. */
        SHORT,
        /** Content of another request, or a response without a result code. */
        FOREIGN,
        /** A status other than 200 or a response that was not kept; there is no content to check. */
        ERROR_STATUS,
        /** No response was checked. */
        NONE
    }
}
