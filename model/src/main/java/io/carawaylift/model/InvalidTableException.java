package io.carawaylift.model;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a table violates a rule. No part of such a table is applied. */
public final class InvalidTableException extends CarawayliftException {
    private static final long serialVersionUID = 1L;

    private final transient List<TableProblem> problems;

    InvalidTableException(List<TableProblem> problems) {
        super(
                ResultCode.TABLE_INVALID,
                problems.stream().map(TableProblem::toString).collect(Collectors.joining("; ")));
        this.problems = List.copyOf(problems);
    }

    /** Returns all problems found, in the order of the table. */
    public List<TableProblem> problems() {
        return problems;
    }
}
