package io.carawaylift.testing.upstream;

/**
 * Counts of one endpoint.
 *
 * @param overSlots requests that arrived while every slot was taken
 * @param runsWhileLeaving requests started after the endpoint was told to drain
 * @param lastRunWhileLeavingMs time from the start of the drain to the last such start
 * @param leavingInFlightEndMs time from the start of the drain until nothing was in flight, -1 if not reached
 */
public record EndpointStatistics(
        String id,
        String upstream,
        int slots,
        int inFlight,
        int peakInFlight,
        long overSlots,
        long runs,
        long answered,
        long cancelled,
        long expired,
        long shed,
        int connections,
        int peakConnections,
        int refusedConnections,
        long runsWhileLeaving,
        long lastRunWhileLeavingMs,
        long leavingInFlightEndMs) {}
