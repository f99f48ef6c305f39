package io.carawaylift.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Typed access to the columns of one row; a missing or wrong value is recorded as a problem and replaced. */
final class RowCells {
    private final String row;
    private final JsonNode node;
    private final List<TableProblem> problems;
    private final Set<String> read = new HashSet<>();

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
        problem(column, value, "must be a text");
        return "";
    }

    int integer(String column) {
        JsonNode value = cell(column);
        if (value.canConvertToInt() && value.isIntegralNumber()) {
            return value.intValue();
        }
        problem(column, value, "must be a whole number");
        return 0;
    }

    int integer(String column, int absent) {
        return cell(column).isMissingNode() ? absent : integer(column);
    }

    boolean flag(String column, boolean absent) {
        JsonNode value = cell(column);
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isBoolean()) {
            problem(column, value, "must be true or false");
        }
        return value.booleanValue();
    }

    Rank rank(String column, Rank absent) {
        JsonNode value = cell(column);
        if (value.isMissingNode()) {
            return absent;
        }
        Optional<Rank> rank = Rank.ofLabel(value.asText());
        if (rank.isEmpty()) {
            problem(column, value, "must be urgent, standard or deferrable");
        }
        return rank.orElse(absent);
    }

    List<String> texts(String column, List<String> absent) {
        JsonNode value = cell(column);
        if (value.isMissingNode()) {
            return absent;
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode element : value) {
            texts.add(element.asText());
        }
        if (!value.isArray()) {
            problem(column, value, "must be a list of texts");
        }
        return texts;
    }

    void rejectUnknown() {
        node.fieldNames().forEachRemaining(column -> {
            if (!read.contains(column)) {
                problem(column, node.get(column), "is not a column of this row");
            }
        });
    }

    private JsonNode cell(String column) {
        read.add(column);
        return node.path(column);
    }

    private void problem(String column, JsonNode value, String rule) {
        String written = value.isMissingNode() ? "(missing)" : value.toString();
        problems.add(new TableProblem(row, column, written, rule));
    }
}
