package io.carawaylift.model;

import java.util.Objects;

/**
 * A table as the platform keeps it in the record {@link RecordNames#TABLE}.
 *
 * @param version rises by one with each accepted change; 1 for the first
 * @param changeId unique id of the change, used to settle a lost answer
 * @param author who made the change
 * @param reason why
 * @param at time of the change in ISO 8601, by the author's clock; for readers only
 */
public record AcceptedTable(long version, String changeId, String author, String reason, String at, Table table) {
    public AcceptedTable {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(table, "table");
    }
}
