package io.carawaylift.model;

import java.util.List;

/**
 * One page of the audit trail, stored as {@link RecordNames#audit}.
 *
 * @param entries oldest first, at most {@link #CAPACITY}
 */
public record AuditPage(List<AuditEntry> entries) {
    /** Entries per page. Keeps a page far below the platform's limit of one megabyte per object. */
    public static final int CAPACITY = 100;

    public AuditPage {
        entries = List.copyOf(entries);
    }
}
