package io.carawaylift.testing.upstream;

/**
 * Counts of one endpoint.
 *
 * @param overSlots requests that started while all slots were occupied
 * @param runsWhileLeaving requests that started while the endpoint was draining
 * @param lastRunWhileLeavingMs time from the start of the drain to the start of the last such request
 * @param leavingInFlightEndMs time from the start of the drain until no request was in flight, updated each time
 *     that happens; -1 if not reached
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
