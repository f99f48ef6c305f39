package io.carawaylift.model;

import java.util.List;

/**
 * One accepted change in the audit trail.
 *
 * @param fromVersion table version before, 0 for the first table
 * @param toVersion table version after
 * @param at time in ISO 8601 by the author's clock
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
