package io.carawaylift.decisions.links;

import io.carawaylift.model.Table;

/**
 * Token buckets for the bytes that one entry process sends to other regions. Times are monotonic nanoseconds. Not
 * thread-safe.
 */
public final class LinkBudgets {
    /** Creates budgets for a process in {@code region}; without a table nothing may be sent to other regions. */
    public LinkBudgets(String region) {
        throw new UnsupportedOperationException();
    }

    /**
     * Takes new shares.
     *
     * @param members members of the own region whose leases have not lapsed, this process included; at least 1
     * @param inDoubt whether this process is without confirmation for one lease
     * @param joining whether this process has not yet been listed for one lease; it may send nothing then
     */
    public void update(Table table, int members, boolean inDoubt, boolean joining, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /**
     * Reserves bytes on the link to a region.
     *
     * @return nanoseconds to wait before sending them; 0 for the own region and for links without a cap; -1 if nothing
     *     may be sent now, in which case nothing is reserved
     */
    public long reserve(String toRegion, int bytes, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Returns how long a reservation of one byte would have to wait now, in nanoseconds, or -1 as for {@link #reserve}. */
    public long backlogNanos(String toRegion, long nowNanos) {
        throw new UnsupportedOperationException();
    }
}
