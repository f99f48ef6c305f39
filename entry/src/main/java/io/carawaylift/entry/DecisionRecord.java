package io.carawaylift.entry;

import java.util.List;

/**
 * How this process decided about one request, for operators.
 *
 * @param at time of arrival in ISO 8601
 * @param hop number of entry processes that the request passed before this one
 * @param code number of the result code
 * @param reason what the code does not say
 * @param millis time from arrival to the end of the answer
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
     * One attempt at the request.
     *
     * @param endpoint empty if unknown
     * @param waitMillis time in the queue of this process
     * @param reason what the code does not say
     */
    record AttemptRecord(String upstream, String owner, String endpoint, double waitMillis, int code, String reason) {}
}
