package io.carawaylift.decisions.dispatch;

import io.carawaylift.decisions.fleet.ProcessingTimes;
import java.util.concurrent.TimeUnit;

/**
 * How long a request waits for an endpoint and how late a response may be expected. In overload a slot goes to a request
 * that can still be served in time, since a late response is worth a fifth of it or less.
 */
final class AdmissionLimits {
    /**
     * Fraction of the target latency for which a request waits before a response later than the target is accepted; a
     * longer wait adds latency without getting the request served.
     */
    private static final double TARGET_WAIT_FRACTION = 0.125;

    /** Fraction of the timeout after which a waiting request is refused, so that its caller still has time to retry. */
    private static final double MAX_WAIT_FRACTION = 0.15;

    /** Fraction of the timeout after which a request that can still be served in time is refused in overload. */
    private static final double PATIENT_WAIT_FRACTION = 0.4;

    /** Fraction of the timeout within which the response must be expected once the target latency cannot be met. */
    private static final double LATE_RESPONSE_FRACTION = 0.45;

    /** Multiple of the expected processing time that is left when a waiting request is refused in overload. */
    private static final double PROCESSING_ALLOWANCE = 1.2;

    private AdmissionLimits() {}

    /** Returns the wait in milliseconds after which a response later than the target is accepted. */
    static long targetWaitMillis(DispatchRequest request) {
        return (long) (TARGET_WAIT_FRACTION * request.targetMillis());
    }

    /** Returns the wait in milliseconds after which the request is refused. */
    static long maxWaitMillis(DispatchRequest request) {
        return Math.max(targetWaitMillis(request) + 1, (long) (MAX_WAIT_FRACTION * request.timeoutMillis()));
    }

    /**
     * Returns the wait in milliseconds after which the request is refused in overload: when it could not be served in
     * time any more even if the endpoint had its object cached.
     */
    static long maxOverloadWaitMillis(DispatchRequest request, ProcessingTimes times) {
        double inTime = request.targetMillis() - PROCESSING_ALLOWANCE * times.expectedMillis(true);
        double patient = Math.min(inTime, PATIENT_WAIT_FRACTION * request.timeoutMillis());
        return Math.max(targetWaitMillis(request) + 1, (long) patient);
    }

    /**
     * Returns the latency from the arrival within which the response must be expected now, unless a slot is free.
     *
     * @param inTimeOnly whether a place in an endpoint's queue is not taken for a late response: in overload the queues
     *     would fill with late work, and hardly any request would be in time
     */
    static double maxLatencyMillis(DispatchRequest request, boolean inTimeOnly, long nowNanos) {
        boolean acceptsLate = request.waitedNanos(nowNanos) >= TimeUnit.MILLISECONDS.toNanos(targetWaitMillis(request));
        if (!acceptsLate || inTimeOnly) {
            return (double) request.targetMillis();
        }
        return Math.max((double) request.targetMillis(), LATE_RESPONSE_FRACTION * request.timeoutMillis());
    }
}
