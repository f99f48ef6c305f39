package io.carawaylift.model;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Rules that every accepted table keeps. */
final class TableRules {
    static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    private static final int MAX_WEIGHT = 1_000_000;
    private static final long MAX_DEADLINE_MS = 600_000;
    private static final long MAX_LOOKUP_LIFETIME_MS = 3_600_000;

    private final Table table;
    private final List<TableProblem> problems = new ArrayList<>();

    private TableRules(Table table) {
        this.table = table;
    }

    /** Returns every broken rule, in the order of the table; empty for a valid table. */
    static List<TableProblem> check(Table table) {
        TableRules rules = new TableRules(table);
        table.regions().forEach(rules::checkRegion);
        table.services().forEach(rules::checkService);
        table.upstreams().forEach(rules::checkUpstream);
        table.links().forEach(rules::checkLink);
        rules.checkRanks();
        rules.range("shift", "max_percent_per_s", table.maxShiftPercentPerSecond(), 1, 100);
        rules.range("lookup", "lifetime_ms", table.lookupLifetimeMs(), 100, MAX_LOOKUP_LIFETIME_MS);
        return rules.problems;
    }

    private void checkRegion(RegionRow row) {
        name(row.key(), row.name());
        range(row.key(), "weight", row.weight(), 0, MAX_WEIGHT);
        range(row.key(), "max_in_flight", row.maxInFlight(), 0, Integer.MAX_VALUE);
    }

    private void checkService(ServiceRow row) {
        name(row.key(), row.name());
        range(row.key(), "max_deadline_ms", row.maxDeadlineMs(), 1, MAX_DEADLINE_MS);
    }

    private void checkUpstream(UpstreamRow row) {
        name(row.key(), row.name());
        range(row.key(), "weight", row.weight(), 0, MAX_WEIGHT);
        range(row.key(), "max_in_flight", row.maxInFlight(), 0, Integer.MAX_VALUE);
        if (table.service(row.service()).isEmpty()) {
            problem(row.key(), "service", row.service(), "must name a [[service]] row");
        }
        knownRegion(row.key(), "region", row.region());
        if (!NAME.matcher(row.failureDomain()).matches()) {
            problem(row.key(), "failure_domain", row.failureDomain(), "must match " + NAME);
        }
    }

    private void checkLink(LinkRow row) {
        knownRegion(row.key(), "from", row.from());
        knownRegion(row.key(), "to", row.to());
        if (row.from().equals(row.to())) {
            problem(row.key(), "to", row.to(), "must differ from the column 'from'");
        }
        range(row.key(), "max_mbit_per_s", row.maxMbitPerSecond(), 1, MAX_WEIGHT);
    }

    private void checkRanks() {
        int total = 0;
        for (RankRow row : table.ranks()) {
            range(row.key(), "floor_percent", row.floorPercent(), 0, 100);
            total += row.floorPercent();
        }
        if (total > 100) {
            problem(
                    "rank",
                    "floor_percent",
                    Integer.toString(total),
                    "the floors of all ranks must sum to at most 100");
        }
    }

    private void name(String row, String name) {
        if (!NAME.matcher(name).matches()) {
            problem(row, "name", name, "must match " + NAME);
        }
    }

    private void knownRegion(String row, String column, String region) {
        if (table.region(region).isEmpty()) {
            problem(row, column, region, "must name a [[region]] row");
        }
    }

    private void range(String row, String column, long value, long least, long most) {
        if (value < least || value > most) {
            problem(row, column, Long.toString(value), "must be from " + least + " to " + most);
        }
    }

    private void problem(String row, String column, String value, String rule) {
        problems.add(new TableProblem(row, column, value, rule));
    }
}
