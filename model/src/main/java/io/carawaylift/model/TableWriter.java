package io.carawaylift.model;

import java.util.stream.Collectors;

/** Writes a table as TOML, with one section per row. */
final class TableWriter {
    private final StringBuilder out = new StringBuilder();

    private TableWriter() {}

    static String write(Table table) {
        TableWriter writer = new TableWriter();
        table.regions().forEach(writer::region);
        table.services().forEach(writer::service);
        table.upstreams().forEach(writer::upstream);
        table.links().forEach(writer::link);
        table.ranks().forEach(writer::rank);
        writer.line("[shift]").cell("max_percent_per_s", table.maxShiftPercentPerSecond());
        writer.line("").line("[lookup]").cell("lifetime_ms", table.lookupLifetimeMs());
        return writer.out.toString();
    }

    private void region(RegionRow row) {
        line("[[region]]").cell("name", row.name()).cell("weight", row.weight());
        cell("max_in_flight", row.maxInFlight()).line("");
    }

    private void service(ServiceRow row) {
        String methods =
                row.repeatableMethods().stream().map(TableWriter::quoted).collect(Collectors.joining(", "));
        line("[[service]]").cell("name", row.name()).cell("rank", row.rank().label());
        line("repeatable_methods = [" + methods + "]");
        cell("max_deadline_ms", row.maxDeadlineMs()).line("");
    }

    private void upstream(UpstreamRow row) {
        line("[[upstream]]").cell("name", row.name()).cell("service", row.service());
        cell("region", row.region()).cell("failure_domain", row.failureDomain());
        cell("weight", row.weight()).cell("max_in_flight", row.maxInFlight());
        line("drain = " + row.drain()).line("");
    }

    private void link(LinkRow row) {
        line("[[link]]").cell("from", row.from()).cell("to", row.to());
        cell("max_mbit_per_s", row.maxMbitPerSecond()).line("");
    }

    private void rank(RankRow row) {
        line("[[rank]]").cell("name", row.rank().label());
        cell("floor_percent", row.floorPercent()).line("");
    }

    private TableWriter cell(String column, String value) {
        return line(column + " = " + quoted(value));
    }

    private TableWriter cell(String column, long value) {
        return line(column + " = " + value);
    }

    private TableWriter line(String text) {
        out.append(text).append('\n');
        return this;
    }

    /** Returns a TOML basic string; escapes backslashes and quotation marks. */
    private static String quoted(String value) {
        return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
}
