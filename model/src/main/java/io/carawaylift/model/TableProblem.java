package io.carawaylift.model;

/**
 * A rule that a table breaks.
 *
 * @param row kind and name or number of the row
 * @param column column name
 * @param value offending value as written, {@code (missing)} if absent
 * @param rule what is allowed
 */
public record TableProblem(String row, String column, String value, String rule) {
    @Override
    public String toString() {
        return row + ": " + column + " = " + value + ": " + rule;
    }
}
