package io.carawaylift.model;

import java.util.List;
import java.util.Objects;

/**
 * An accepted version of the operators' table, stored as {@link RecordNames#TABLE}.
 *
 * @param version 1 for the first table, increased by one with each accepted change
 * @param changeId unique id of the change; shows after a lost response whether the write was applied
 * @param author operator who made the change
 * @param reason operator's reason for the change
 * @param at time of the change in ISO 8601 by the author's clock; for display only
 * @param changes rows changed by this version; lets the next command complete the audit trail if the author's command
 *     terminated between writing the table and writing the audit page
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
