package io.carawaylift.model;

import java.util.List;

/** Audit entries of one record {@link RecordNames#audit}, oldest first; at most {@link #CAPACITY}. */
public record AuditPage(List<AuditEntry> entries) {
    /** Changes per record; keeps a record far below the platform's limit of one megabyte. */
    public static final int CAPACITY = 100;

    public AuditPage {
        entries = List.copyOf(entries);
    }
}
