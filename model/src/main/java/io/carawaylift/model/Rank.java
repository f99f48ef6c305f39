package io.carawaylift.model;

import java.util.Locale;
import java.util.Optional;

/** Priority of a request; the order of the constants is the order of service. */
public enum Rank {
    URGENT,
    STANDARD,
    DEFERRABLE;

    /** Returns the lower-case name, which is used in the table and in headers. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the rank with the given label, or empty if {@code label} is null or unknown. */
    public static Optional<Rank> ofLabel(String label) {
        for (Rank rank : values()) {
            if (rank.label().equals(label)) {
                return Optional.of(rank);
            }
        }
        return Optional.empty();
    }
}
