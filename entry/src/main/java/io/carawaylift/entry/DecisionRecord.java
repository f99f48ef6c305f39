package io.carawaylift.entry;

import java.util.List;

/**
 * Decisions of this process about one request, for operators.
 *
 * @param at time of arrival in ISO 8601
 * @param hop number of entry processes that forwarded the request before it reached this one
 * @param code number of the result code
 * @param reason details beyond the code
 * @param millis time from arrival to the end of the response
 */
record DecisionRecord(
        String requestId,
        String at,
        String service,
        String rank,
        String customer,
        int hop,
        int code,
        String outcome,
        String reason,
        double millis,
        List<AttemptRecord> attempts) {
    DecisionRecord {
        attempts = List.copyOf(attempts);
    }

    /**
     * One attempt to run the request.
     *
     * @param endpoint id of the endpoint, empty if unknown
     * @param waitMillis time in the queue of this process
     * @param reason details beyond the code
     */
    record AttemptRecord(String upstream, String owner, String endpoint, double waitMillis, int code, String reason) {}
}
