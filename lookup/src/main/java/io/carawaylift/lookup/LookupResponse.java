package io.carawaylift.lookup;

import java.util.List;

/**
 * Response to a lookup.
 *
 * @param entries entry hosts in the order in which the caller should try them, not empty
 * @param lifetimeMs how long the caller may cache the response, in milliseconds
 */
public record LookupResponse(List<Entry> entries, long lifetimeMs) {
    public LookupResponse {
        entries = List.copyOf(entries);
    }

    /** An entry host and the base URL of its entry program. */
    public record Entry(String host, String url) {}
}
