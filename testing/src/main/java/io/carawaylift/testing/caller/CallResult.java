package io.carawaylift.testing.caller;

import io.carawaylift.model.Outcome;

/**
 * What a caller concluded about one call.
 *
 * @param path path that the upstream sees, by which its runs are counted
 * @param outcome conclusion over all attempts
 * @param code result code of the last answer, 0 if no attempt was answered
 * @param status HTTP status of the last answer, 0 if none
 * @param attempts requests sent, those for tickets excluded
 * @param cutAttempts attempts whose connection broke after it was made
 * @param refusedConnections attempts to which no connection was made
 * @param content result of the check of the answer's content
 * @param requestId request id of the last answer, empty if none
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
    /** Result of the check of an answer. */
    public enum Content {
        /** Complete and of this request. */
        CORRECT,
        /** Fewer bytes than announced or asked for, in an answer that looked complete. */
        SHORT,
        /** Not the content of this request. */
        FOREIGN,
        /** An error status of the upstream, without content to check. */
        ERROR_STATUS,
        /** There was no answer to check. */
        NONE
    }
}
