package io.carawaylift.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operators' table of weights and limits. Immutable. Instances made by {@link #parse} or {@link Builder#build}
 * comply with all rules of {@link TableRules}; the constructor does not check them.
 *
 * @param maxShiftPercentPerSecond maximum increase of an upstream's share, in percentage points per second
 * @param lookupLifetimeMs how long callers may cache a lookup response, in milliseconds
 */
public record Table(
        List<RegionRow> regions,
        List<ServiceRow> services,
        List<UpstreamRow> upstreams,
        List<LinkRow> links,
        List<RankRow> ranks,
        int maxShiftPercentPerSecond,
        long lookupLifetimeMs) {
    public Table {
        regions = List.copyOf(regions);
        services = List.copyOf(services);
        upstreams = List.copyOf(upstreams);
        links = List.copyOf(links);
        ranks = List.copyOf(ranks);
    }

    /**
     * Parses a table from TOML.
     *
     * @throws InvalidTableException with all problems found, if the text is not TOML or violates a rule
     */
    public static Table parse(String toml) {
        return new TableParser().parse(toml);
    }

    /** Returns a builder without rows and with default settings. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the service with this name. */
    public Optional<ServiceRow> service(String name) {
        return services.stream().filter(row -> row.name().equals(name)).findFirst();
    }

    /** Returns the upstream with this name. */
    public Optional<UpstreamRow> upstream(String name) {
        return upstreams.stream().filter(row -> row.name().equals(name)).findFirst();
    }

    /** Returns the region with this name. */
    public Optional<RegionRow> region(String name) {
        return regions.stream().filter(row -> row.name().equals(name)).findFirst();
    }

    /** Returns the link from one region to another, or empty if the table sets no limit for it. */
    public Optional<LinkRow> link(String from, String to) {
        return links.stream()
                .filter(row -> row.from().equals(from) && row.to().equals(to))
                .findFirst();
    }

    /** Returns the floor of a rank as a fraction from 0 to 1, or 0 if the table has no row for the rank. */
    public double floor(Rank rank) {
        for (RankRow row : ranks) {
            if (row.rank() == rank) {
                return row.floorPercent() / 100.0;
            }
        }
        return 0;
    }

    /** Returns the upstreams of a service in table order, drained ones included. */
    public List<UpstreamRow> upstreamsOf(String service) {
        return upstreams.stream().filter(row -> row.service().equals(service)).toList();
    }

    /**
     * Returns the wanted share of each upstream of a service, by name. Upstreams that are drained or have weight 0 have
     * share 0, and a region without any other upstream of the service is left out. The weights of the remaining regions
     * are normalised, and the share of a region is divided among its upstreams by their weights. The shares sum to 1,
     * or are all 0 if no remaining region has a weight.
     */
    public Map<String, Double> wantedShares(String service) {
        return WantedShares.of(this, service);
    }

    /** Returns all rows by key: regions, services, upstreams, links and ranks, each in table order. */
    public Map<String, TableRow> rows() {
        Map<String, TableRow> rows = new LinkedHashMap<>();
        regions.forEach(row -> rows.put(row.key(), row));
        services.forEach(row -> rows.put(row.key(), row));
        upstreams.forEach(row -> rows.put(row.key(), row));
        links.forEach(row -> rows.put(row.key(), row));
        ranks.forEach(row -> rows.put(row.key(), row));
        return rows;
    }

    /** Returns the table as TOML, which {@link #parse} converts back to an equal table. */
    public String toToml() {
        return TableWriter.write(this);
    }

    /** Returns a builder that starts with the rows of this table. */
    public Builder toBuilder() {
        Builder builder = new Builder().maxShiftPercentPerSecond(maxShiftPercentPerSecond);
        builder.lookupLifetimeMs(lookupLifetimeMs);
        rows().values().forEach(builder::put);
        return builder;
    }

    /** Builds a {@link Table}. A later row replaces an earlier one with the same key. */
    public static final class Builder {
        private static final int DEFAULT_SHIFT_PERCENT_PER_SECOND = 10;
        private static final long DEFAULT_LOOKUP_LIFETIME_MILLIS = 5_000;

        private final Map<String, TableRow> rows = new LinkedHashMap<>();
        private int maxShiftPercentPerSecond = DEFAULT_SHIFT_PERCENT_PER_SECOND;
        private long lookupLifetimeMs = DEFAULT_LOOKUP_LIFETIME_MILLIS;

        private Builder() {}

        /** Adds a row, or replaces the row with the same key. */
        public Builder put(TableRow row) {
            rows.put(row.key(), row);
            return this;
        }

        /** Removes the row with this key, if present. */
        public Builder remove(String key) {
            rows.remove(key);
            return this;
        }

        /** Sets the maximum increase of an upstream's share, in percentage points per second; 10 by default. */
        public Builder maxShiftPercentPerSecond(int percent) {
            this.maxShiftPercentPerSecond = percent;
            return this;
        }

        /** Sets how long callers may cache a lookup response, in milliseconds; 5000 by default. */
        public Builder lookupLifetimeMs(long lifetimeMs) {
            this.lookupLifetimeMs = lifetimeMs;
            return this;
        }

        /**
         * Returns the table.
         *
         * @throws InvalidTableException with all problems found, if the rows violate a rule
         */
        public Table build() {
            Table table = new Table(
                    rowsOfType(RegionRow.class),
                    rowsOfType(ServiceRow.class),
                    rowsOfType(UpstreamRow.class),
                    rowsOfType(LinkRow.class),
                    rowsOfType(RankRow.class),
                    maxShiftPercentPerSecond,
                    lookupLifetimeMs);
            List<TableProblem> problems = TableRules.check(table);
            if (!problems.isEmpty()) {
                throw new InvalidTableException(problems);
            }
            return table;
        }

        private <R extends TableRow> List<R> rowsOfType(Class<R> type) {
            List<R> found = new ArrayList<>();
            for (TableRow row : rows.values()) {
                if (type.isInstance(row)) {
                    found.add(type.cast(row));
                }
            }
            return found;
        }
    }
}
