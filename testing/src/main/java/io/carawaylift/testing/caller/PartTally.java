package io.carawaylift.testing.caller;

import io.carawaylift.model.Outcome;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Counts the results of one part of a load. Thread-safe. */
final class PartTally {
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(5);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final LoadPart part;
    private final Histogram answeredMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Map<Integer, Long> codes = new TreeMap<>();
    private final Map<String, Long> answeredByCustomer = new TreeMap<>();
    private int inFlight;
    private long offered;
    private long notOffered;
    private long answered;
    private long inTime;
    private long notRun;
    private long unknown;
    private long wrong;
    private long shortAnswers;
    private long errorStatus;
    private long cutAttempts;
    private long retries;

    PartTally(LoadPart part) {
        this.part = part;
    }

    /** Returns whether another call may start; if not, counts the arrival as not offered. */
    synchronized boolean tryStart(int maxInFlight) {
        if (inFlight >= maxInFlight) {
            notOffered++;
            return false;
        }
        inFlight++;
        return true;
    }

    synchronized void count(CallResult result, int number, long micros) {
        inFlight--;
        offered++;
        codes.merge(result.code(), 1L, Long::sum);
        cutAttempts += result.cutAttempts();
        retries += Math.max(0, result.attempts() - 1);
        switch (result.content()) {
            case SHORT -> shortAnswers++;
            case FOREIGN -> wrong++;
            case ERROR_STATUS -> errorStatus++;
            default -> {}
        }
        if (result.outcome() == Outcome.ANSWERED) {
            countAnswered(number, micros);
        } else if (result.outcome() == Outcome.NOT_RUN) {
            notRun++;
        } else {
            unknown++;
        }
    }

    private void countAnswered(int number, long micros) {
        answered++;
        if (micros <= TimeUnit.MILLISECONDS.toMicros(part.deadlineMs())) {
            inTime++;
        }
        answeredMicros.recordValue(Math.min(micros, MAX_LATENCY_MICROS));
        String customer = part.customers().get(number % part.customers().size());
        answeredByCustomer.merge(customer, 1L, Long::sum);
    }

    synchronized PartReport report(double seconds) {
        return new PartReport(
                part.name(),
                part.rank().label(),
                part.ratePerSecond(),
                offered,
                notOffered,
                answered,
                inTime,
                notRun,
                unknown,
                wrong,
                shortAnswers,
                errorStatus,
                cutAttempts,
                retries,
                answered / seconds,
                percentileMillis(50),
                percentileMillis(99),
                percentileMillis(100),
                new TreeMap<>(codes),
                new TreeMap<>(answeredByCustomer));
    }

    private double percentileMillis(double percentile) {
        return answeredMicros.getValueAtPercentile(percentile) / 1000.0;
    }
}
