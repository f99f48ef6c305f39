package io.carawaylift.testing.measure;

import io.carawaylift.model.Rank;

/**
 * One request of the simulated callers. Times are in nanoseconds of virtual time.
 *
 * @param flood whether it belongs to the flood and not to the normal load
 * @param measured whether it arrives in the measured interval
 */
record Request(
        long id,
        Rank rank,
        String customer,
        long arrivalNanos,
        long serviceNanos,
        long deadlineNanos,
        boolean flood,
        boolean measured) {}
