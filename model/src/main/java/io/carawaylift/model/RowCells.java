package io.carawaylift.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Typed access to the columns of one row. A missing or invalid value is recorded as a problem and replaced by a
 * default, so that parsing continues. Not thread-safe.
 */
final class RowCells {
    private final String row;
    private final JsonNode node;
    private final List<TableProblem> problems;
    private final Set<String> readColumns = new HashSet<>();

    RowCells(String section, int number, JsonNode node, List<TableProblem> problems) {
        String name = node.path("name").asText("");
        this.row = name.isEmpty() ? section + " #" + number : section + " " + name;
        this.node = node;
        this.problems = problems;
    }

    String text(String column) {
        JsonNode value = cell(column);
        if (value.isTextual()) {
            return value.textValue();
        }
        addProblem(column, value, "must be a string");
        return "";
    }

    int integer(String column) {
        JsonNode value = cell(column);
        if (value.canConvertToInt() && value.isIntegralNumber()) {
            return value.intValue();
        }
        addProblem(column, value, "must be a whole number");
        return 0;
    }

    int integer(String column, int defaultValue) {
        return cell(column).isMissingNode() ? defaultValue : integer(column);
    }

    boolean bool(String column, boolean defaultValue) {
        JsonNode value = cell(column);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            addProblem(column, value, "must be true or false");
        }
        return value.booleanValue();
    }

    Rank rank(String column, Rank defaultValue) {
        JsonNode value = cell(column);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        Optional<Rank> rank = Rank.ofLabel(value.asText());
        if (rank.isEmpty()) {
            addProblem(column, value, "must be urgent, standard or deferrable");
        }
        return rank.orElse(defaultValue);
    }

    List<String> strings(String column, List<String> defaultValue) {
        JsonNode value = cell(column);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        List<String> strings = new ArrayList<>();
        for (JsonNode element : value) {
            strings.add(element.asText());
        }
        if (!value.isArray()) {
            addProblem(column, value, "must be a list of strings");
        }
        return strings;
    }

    void rejectUnknownColumns() {
        node.fieldNames().forEachRemaining(column -> {
            if (!readColumns.contains(column)) {
                addProblem(column, node.get(column), "is not a known column of this row");
            }
        });
    }

    private JsonNode cell(String column) {
        readColumns.add(column);
        return node.path(column);
    }

    private void addProblem(String column, JsonNode value, String rule) {
        String written = value.isMissingNode() ? "(missing)" : value.toString();
        problems.add(new TableProblem(row, column, written, rule));
    }
}
