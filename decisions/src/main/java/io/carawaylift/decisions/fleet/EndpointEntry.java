package io.carawaylift.decisions.fleet;

/**
 * An endpoint as the platform lists it.
 *
 * @param id name of one incarnation, unless the endpoint restarts under its old id
 * @param startedMillis Unix milliseconds of its start, 0 if unknown; tells incarnations with the same id apart
 * @param host IP address
 * @param slots requests that it runs at once
 * @param draining whether it is about to leave and gets no new requests
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
