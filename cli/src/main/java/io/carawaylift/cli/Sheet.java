package io.carawaylift.cli;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Formats rows of text under named columns as an aligned table, as CSV or as JSON lines. */
record Sheet(List<String> columns, List<List<String>> rows) {
    static Sheet of(List<String> columns, List<List<String>> rows) {
        return new Sheet(List.copyOf(columns), List.copyOf(rows));
    }

    /**
     * Returns the rows in the given format.
     *
     * @param format text, csv or json
     * @throws CarawayliftException if {@code format} is not text, csv or json
     */
    String format(String format) {
        return switch (format) {
            case "text" -> text();
            case "csv" -> csv();
            case "json" -> json();
            default ->
                throw new CarawayliftException(
                        ResultCode.BAD_REQUEST, "unknown format '" + format + "', expected text, csv or json");
        };
    }

    private String text() {
        StringBuilder out = new StringBuilder();
        appendAligned(out, columns);
        rows.forEach(row -> appendAligned(out, row));
        return out.toString();
    }

    private void appendAligned(StringBuilder out, List<String> cells) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < cells.size(); column++) {
            line.append(cells.get(column));
            int padding = width(column) - cells.get(column).length() + 2;
            line.append(" ".repeat(padding));
        }
        out.append(line.toString().stripTrailing()).append('\n');
    }

    private int width(int column) {
        int width = columns.get(column).length();
        for (List<String> row : rows) {
            width = Math.max(width, row.get(column).length());
        }
        return width;
    }

    private String csv() {
        StringBuilder out = new StringBuilder();
        appendCsv(out, columns);
        rows.forEach(row -> appendCsv(out, row));
        return out.toString();
    }

    private static void appendCsv(StringBuilder out, List<String> cells) {
        out.append(String.join(",", cells.stream().map(Sheet::csvCell).toList()))
                .append("\r\n");
    }

    /** Quotes a cell as in RFC 4180 if it contains a comma, a quote or a line break. */
    private static String csvCell(String cell) {
        boolean plain = cell.chars().noneMatch(c -> c == ',' || c == '"' || c == '\n' || c == '\r');
        return plain ? cell : '"' + cell.replace("\"", "\"\"") + '"';
    }

    private String json() {
        StringBuilder out = new StringBuilder();
        for (List<String> row : rows) {
            Map<String, String> object = new LinkedHashMap<>();
            for (int column = 0; column < row.size(); column++) {
                object.put(columns.get(column), row.get(column));
            }
            out.append(JsonText.line(object)).append('\n');
        }
        return out.toString();
    }
}
