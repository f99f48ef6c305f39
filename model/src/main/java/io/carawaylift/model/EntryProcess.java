package io.carawaylift.model;

import java.util.Objects;

/**
 * Identifies one process of the entry program.
 *
 * @param host id of the host
 * @param incarnation increased with every start on this host
 */
public record EntryProcess(String host, long incarnation) {
    public EntryProcess {
        Objects.requireNonNull(host, "host");
    }

    @Override
    public String toString() {
        return host + "." + incarnation;
    }
}
