package io.carawaylift.model;

/**
 * A violation of a rule by a table.
 *
 * @param row kind of the row with its name or number
 * @param column name of the column
 * @param value offending value as written in the table, {@code (missing)} if absent
 * @param rule description of the allowed values
 */
public record TableProblem(String row, String column, String value, String rule) {
    @Override
    public String toString() {
        return row + ": " + column + " = " + value + ": " + rule;
    }
}
