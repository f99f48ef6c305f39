package io.carawaylift.model;

import java.util.List;

/**
 * One accepted change of the table in the audit trail.
 *
 * @param at time of the change in ISO 8601 by the author's clock
 * @param fromVersion table version before the change, 0 for the first table
 * @param toVersion table version after the change
 */
public record AuditEntry(
        String changeId,
        String author,
        String reason,
        String at,
        long fromVersion,
        long toVersion,
        List<RowChange> changes) {
    public AuditEntry {
        changes = List.copyOf(changes);
    }
}
