package io.carawaylift.model;

/**
 * Table row of an upstream.
 *
 * @param weight share among the service's upstreams of the same region, at least 0
 * @param maxInFlight most requests in flight at the upstream, 0 for no limit
 * @param drain whether the upstream gets no new work
 */
public record UpstreamRow(
        String name, String service, String region, String failureDomain, int weight, int maxInFlight, boolean drain)
        implements TableRow {
    @Override
    public String key() {
        return "upstream " + name;
    }
}
