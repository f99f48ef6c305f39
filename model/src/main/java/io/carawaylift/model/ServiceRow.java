package io.carawaylift.model;

import java.util.List;

/**
 * Table row of a service.
 *
 * @param rank rank of requests without a rank header
 * @param repeatableMethods HTTP methods whose requests are idempotent; requests with other methods are at-most-once
 * @param maxDeadlineMs maximum time that a request may take, in milliseconds
 */
public record ServiceRow(String name, Rank rank, List<String> repeatableMethods, long maxDeadlineMs)
        implements TableRow {
    public ServiceRow {
        repeatableMethods = List.copyOf(repeatableMethods);
    }

    @Override
    public String key() {
        return "service " + name;
    }

    /** Returns whether requests with this HTTP method are idempotent, so that they may be retried. */
    public boolean isIdempotent(String method) {
        return repeatableMethods.contains(method);
    }
}
