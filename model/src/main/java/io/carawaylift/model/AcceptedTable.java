package io.carawaylift.model;

import java.util.List;
import java.util.Objects;

/**
 * A table as the platform keeps it in the record {@link RecordNames#TABLE}.
 *
 * @param version rises by one with each accepted change; 1 for the first
 * @param changeId unique id of the change, used to settle a lost answer
 * @param author who made the change
 * @param reason why
 * @param at time of the change in ISO 8601, by the author's clock; for readers only
 * @param changes rows that this version changed; lets the next operator complete the audit trail if the author's command
 *     ended between writing the table and writing the audit page
 */
public record AcceptedTable(
        long version, String changeId, String author, String reason, String at, List<RowChange> changes, Table table) {
    public AcceptedTable {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(table, "table");
        changes = List.copyOf(changes);
    }

    /** Returns the audit entry of the change to this version. */
    public AuditEntry auditEntry() {
        return new AuditEntry(changeId, author, reason, at, version - 1, version, changes);
    }
}
