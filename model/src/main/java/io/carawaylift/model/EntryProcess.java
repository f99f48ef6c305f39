package io.carawaylift.model;

import java.util.Objects;

/**
 * One run of the entry program.
 *
 * @param host id of the host
 * @param incarnation rises with every start at this host
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
