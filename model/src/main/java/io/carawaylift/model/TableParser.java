package io.carawaylift.model;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/** Parses a table from TOML and reports all problems at once. An instance parses one table. */
final class TableParser {
    private static final List<String> DEFAULT_IDEMPOTENT_METHODS = List.of("GET", "HEAD");
    private static final Set<String> SECTIONS =
            Set.of("region", "service", "upstream", "link", "rank", "shift", "lookup");

    private final List<TableProblem> problems = new ArrayList<>();
    private final Set<String> seenKeys = new HashSet<>();
    private final Table.Builder builder = Table.builder();

    Table parse(String toml) {
        JsonNode root = parseToml(toml);
        root.fieldNames().forEachRemaining(section -> {
            if (!SECTIONS.contains(section)) {
                problems.add(new TableProblem("table", section, "(section)", "must be one of " + sortedSections()));
            }
        });
        readRows(root, "region", this::region);
        readRows(root, "service", this::service);
        readRows(root, "upstream", this::upstream);
        readRows(root, "link", this::link);
        readRows(root, "rank", this::rank);
        readShift(root);
        readLookup(root);
        if (!problems.isEmpty()) {
            throw new InvalidTableException(problems);
        }
        return builder.build();
    }

    private static String sortedSections() {
        return String.join(", ", SECTIONS.stream().sorted().toList());
    }

    private static JsonNode parseToml(String toml) {
        try {
            return new TomlMapper().readTree(toml);
        } catch (JsonProcessingException e) {
            String location =
                    e.getLocation() == null ? "file" : "line " + e.getLocation().getLineNr();
            throw new InvalidTableException(
                    List.of(new TableProblem(location, "(syntax)", e.getOriginalMessage(), "must be valid TOML")));
        }
    }

    private interface RowReader {
        TableRow read(RowCells cells);
    }

    private void readRows(JsonNode root, String section, RowReader reader) {
        JsonNode array = root.path(section);
        if (array.isMissingNode()) {
            return;
        }
        if (!array.isArray()) {
            problems.add(
                    new TableProblem(section, "(section)", array.toString(), "must be written as [[" + section + "]]"));
            return;
        }
        int number = 0;
        for (Iterator<JsonNode> nodes = array.elements(); nodes.hasNext(); ) {
            number++;
            addRow(section + " #" + number, new RowCells(section, number, nodes.next(), problems), reader);
        }
    }

    private void addRow(String position, RowCells cells, RowReader reader) {
        TableRow row = reader.read(cells);
        cells.rejectUnknownColumns();
        if (!seenKeys.add(row.key())) {
            problems.add(new TableProblem(
                    position, "name", row.key(), "must be unique, but an earlier row has the same key"));
        }
        builder.put(row);
    }

    private TableRow region(RowCells cells) {
        return new RegionRow(cells.text("name"), cells.integer("weight"), cells.integer("max_in_flight", 0));
    }

    private TableRow service(RowCells cells) {
        return new ServiceRow(
                cells.text("name"),
                cells.rank("rank", Rank.STANDARD),
                cells.strings("repeatable_methods", DEFAULT_IDEMPOTENT_METHODS),
                cells.integer("max_deadline_ms"));
    }

    private TableRow upstream(RowCells cells) {
        return new UpstreamRow(
                cells.text("name"),
                cells.text("service"),
                cells.text("region"),
                cells.text("failure_domain"),
                cells.integer("weight"),
                cells.integer("max_in_flight", 0),
                cells.bool("drain", false));
    }

    private TableRow link(RowCells cells) {
        return new LinkRow(cells.text("from"), cells.text("to"), cells.integer("max_mbit_per_s"));
    }

    private TableRow rank(RowCells cells) {
        return new RankRow(cells.rank("name", Rank.STANDARD), cells.integer("floor_percent"));
    }

    private void readShift(JsonNode root) {
        if (root.has("shift")) {
            RowCells cells = new RowCells("shift", 1, root.get("shift"), problems);
            builder.maxShiftPercentPerSecond(cells.integer("max_percent_per_s"));
            cells.rejectUnknownColumns();
        }
    }

    private void readLookup(JsonNode root) {
        if (root.has("lookup")) {
            RowCells cells = new RowCells("lookup", 1, root.get("lookup"), problems);
            builder.lookupLifetimeMs(cells.integer("lifetime_ms"));
            cells.rejectUnknownColumns();
        }
    }
}
