package io.carawaylift.model;

/**
 * Table row of a region.
 *
 * @param weight weight of the region relative to the other regions in the traffic of each service, at least 0
 * @param maxInFlight maximum number of requests in flight in the region, 0 for no limit
 */
public record RegionRow(String name, int weight, int maxInFlight) implements TableRow {
    @Override
    public String key() {
        return "region " + name;
    }
}
