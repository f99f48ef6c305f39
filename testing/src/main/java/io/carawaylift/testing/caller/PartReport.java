package io.carawaylift.testing.caller;

import java.util.Map;

/**
 * Results of one part of a load.
 *
 * @param offered calls made
 * @param notOffered arrivals that were not sent because the callers' own bound was reached
 * @param inTime answered within the deadline, counted from the scheduled arrival
 * @param wrong answers without a code or with content of another request
 * @param shortAnswers complete-looking answers with a part missing
 * @param errorStatus answers of an upstream with another status than 200
 * @param cutAttempts attempts whose connection broke after it was made
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
