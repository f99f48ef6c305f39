package io.carawaylift.model;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Checks the rules with which every accepted table complies. */
final class TableRules {
    static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    private static final int MAX_WEIGHT = 1_000_000;
    private static final long MAX_DEADLINE_MILLIS = 600_000;
    private static final long MAX_LOOKUP_LIFETIME_MILLIS = 3_600_000;

    private final Table table;
    private final List<TableProblem> problems = new ArrayList<>();

    private TableRules(Table table) {
        this.table = table;
    }

    /** Returns all violations in the order of the table; empty for a valid table. */
    static List<TableProblem> check(Table table) {
        TableRules rules = new TableRules(table);
        table.regions().forEach(rules::checkRegion);
        table.services().forEach(rules::checkService);
        table.upstreams().forEach(rules::checkUpstream);
        table.links().forEach(rules::checkLink);
        rules.checkRanks();
        rules.checkRange("shift", "max_percent_per_s", table.maxShiftPercentPerSecond(), 1, 100);
        rules.checkRange("lookup", "lifetime_ms", table.lookupLifetimeMs(), 100, MAX_LOOKUP_LIFETIME_MILLIS);
        return rules.problems;
    }

    private void checkRegion(RegionRow row) {
        checkName(row.key(), row.name());
        checkRange(row.key(), "weight", row.weight(), 0, MAX_WEIGHT);
        checkRange(row.key(), "max_in_flight", row.maxInFlight(), 0, Integer.MAX_VALUE);
    }

    private void checkService(ServiceRow row) {
        checkName(row.key(), row.name());
        checkRange(row.key(), "max_deadline_ms", row.maxDeadlineMs(), 1, MAX_DEADLINE_MILLIS);
    }

    private void checkUpstream(UpstreamRow row) {
        checkName(row.key(), row.name());
        checkRange(row.key(), "weight", row.weight(), 0, MAX_WEIGHT);
        checkRange(row.key(), "max_in_flight", row.maxInFlight(), 0, Integer.MAX_VALUE);
        if (table.service(row.service()).isEmpty()) {
            addProblem(row.key(), "service", row.service(), "must name a [[service]] row");
        }
        checkRegionExists(row.key(), "region", row.region());
        if (!NAME.matcher(row.failureDomain()).matches()) {
            addProblem(row.key(), "failure_domain", row.failureDomain(), "must match " + NAME);
        }
    }

    private void checkLink(LinkRow row) {
        checkRegionExists(row.key(), "from", row.from());
        checkRegionExists(row.key(), "to", row.to());
        if (row.from().equals(row.to())) {
            addProblem(row.key(), "to", row.to(), "must differ from the column 'from'");
        }
        checkRange(row.key(), "max_mbit_per_s", row.maxMbitPerSecond(), 1, MAX_WEIGHT);
    }

    private void checkRanks() {
        int total = 0;
        for (RankRow row : table.ranks()) {
            checkRange(row.key(), "floor_percent", row.floorPercent(), 0, 100);
            total += row.floorPercent();
        }
        if (total > 100) {
            addProblem(
                    "rank",
                    "floor_percent",
                    Integer.toString(total),
                    "the floors of all ranks must sum to at most 100");
        }
    }

    private void checkName(String row, String name) {
        if (!NAME.matcher(name).matches()) {
            addProblem(row, "name", name, "must match " + NAME);
        }
    }

    private void checkRegionExists(String row, String column, String region) {
        if (table.region(region).isEmpty()) {
            addProblem(row, column, region, "must name a [[region]] row");
        }
    }

    private void checkRange(String row, String column, long value, long min, long max) {
        if (value < min || value > max) {
            addProblem(row, column, Long.toString(value), "must be from " + min + " to " + max);
        }
    }

    private void addProblem(String row, String column, String value, String rule) {
        problems.add(new TableProblem(row, column, value, rule));
    }
}
