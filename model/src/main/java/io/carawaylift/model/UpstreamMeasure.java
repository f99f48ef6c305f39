package io.carawaylift.model;

/**
 * What one entry process measured of one upstream.
 *
 * @param inFlight requests in flight now
 * @param dispatchedPerSecond requests sent, mean of the last report interval
 * @param refusedPerSecond requests refused as not run, mean of the last report interval
 * @param usableSlots slots that the process may use now as owner
 */
public record UpstreamMeasure(
        String upstream, int inFlight, double dispatchedPerSecond, double refusedPerSecond, int usableSlots) {}
