package io.carawaylift.model;

/**
 * Table row of a region.
 *
 * @param weight share of each service's traffic relative to the other regions, at least 0
 * @param maxInFlight most requests in flight in the region, 0 for no limit
 */
public record RegionRow(String name, int weight, int maxInFlight) implements TableRow {
    @Override
    public String key() {
        return "region " + name;
    }
}
