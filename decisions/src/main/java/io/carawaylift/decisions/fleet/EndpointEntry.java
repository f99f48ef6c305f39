package io.carawaylift.decisions.fleet;

/**
 * An endpoint as listed by the platform.
 *
 * @param id name of one incarnation, unless the endpoint restarts under its old id
 * @param startedMillis Unix milliseconds of its start, 0 if unknown; distinguishes incarnations with the same id
 * @param host IP address
 * @param slots maximum number of requests that it runs at once
 * @param draining whether it is about to stop and gets no new requests
 * @param remainingColdMillis how much longer it tolerated only few requests when the entry was written
 */
public record EndpointEntry(
        String id,
        long startedMillis,
        String service,
        String host,
        int port,
        String zone,
        String region,
        int slots,
        boolean draining,
        long remainingColdMillis) {
    public EndpointEntry {
        if (slots < 1) {
            throw new IllegalArgumentException("endpoint " + id + ": slots must be at least 1: " + slots);
        }
    }

    /** Returns whether both entries describe the same process. */
    public boolean sameIncarnation(EndpointEntry other) {
        return id.equals(other.id) && startedMillis == other.startedMillis;
    }
}
