package io.carawaylift.model;

/**
 * Load of one upstream as measured by one entry process.
 *
 * @param inFlight current number of requests in flight
 * @param dispatchedPerSecond rate of requests sent, averaged over the last report interval
 * @param refusedPerSecond rate of requests that were rejected without being run, averaged over the last report interval
 * @param usableSlots number of slots that the process may currently use as owner
 */
public record UpstreamMeasure(
        String upstream, int inFlight, double dispatchedPerSecond, double refusedPerSecond, int usableSlots) {}
