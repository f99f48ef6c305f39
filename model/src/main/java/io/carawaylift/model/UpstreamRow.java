package io.carawaylift.model;

/**
 * Table row of an upstream.
 *
 * @param weight weight relative to the service's other upstreams in the same region, at least 0
 * @param maxInFlight maximum number of requests in flight at the upstream, 0 for no limit
 * @param drain whether the upstream gets no new requests
 */
public record UpstreamRow(
        String name, String service, String region, String failureDomain, int weight, int maxInFlight, boolean drain)
        implements TableRow {
    @Override
    public String key() {
        return "upstream " + name;
    }
}
