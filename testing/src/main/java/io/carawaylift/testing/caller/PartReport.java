package io.carawaylift.testing.caller;

import java.util.Map;

/**
 * Results of one part of a load.
 *
 * @param offered calls sent
 * @param notOffered arrivals that were not sent because the limit of calls in flight was reached
 * @param inTime calls answered within the deadline, measured from the scheduled arrival
 * @param wrong responses without a result code or with content of another request
 * @param shortAnswers truncated responses that looked complete
 * @param errorStatus responses of an upstream with a status other than 200
 * @param cutAttempts attempts whose connection failed after it was established
 * @param codes calls by last result code, 0 for none
 */
public record PartReport(
        String name,
        String rank,
        double ratePerSecond,
        long offered,
        long notOffered,
        long answered,
        long inTime,
        long notRun,
        long unknown,
        long wrong,
        long shortAnswers,
        long errorStatus,
        long cutAttempts,
        long retries,
        double answeredPerSecond,
        double p50Ms,
        double p99Ms,
        double maxMs,
        Map<Integer, Long> codes,
        Map<String, Long> answeredByCustomer) {}
