package io.carawaylift.model;

import java.util.List;

/**
 * Table row of a service.
 *
 * @param rank rank of requests that name none
 * @param repeatableMethods HTTP methods whose requests are idempotent; all other requests are once-only
 * @param maxDeadlineMs longest time a request may take, in milliseconds
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

    /** Returns whether requests with this HTTP method may be sent more than once. */
    public boolean isIdempotent(String method) {
        return repeatableMethods.contains(method);
    }
}
