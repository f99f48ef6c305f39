package io.carawaylift.decisions.links;

import io.carawaylift.model.LinkRow;
import io.carawaylift.model.Table;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Token buckets for the bytes that one entry process sends to other regions. Times are monotonic nanoseconds. Not
 * thread-safe.
 */
public final class LinkBudgets {
    private final String region;
    private final Map<String, LinkBucket> buckets = new HashMap<>();
    private boolean hasTable;

    /** Creates budgets for a process in {@code region}; without a table nothing may be sent to other regions. */
    public LinkBudgets(String region) {
        this.region = Objects.requireNonNull(region, "region");
    }

    /**
     * Takes new shares.
     *
     * @param members members of the own region whose leases have not lapsed, this process included; at least 1
     * @param leaseUnconfirmed whether this process is without confirmation for one lease
     * @param joining whether this process has not yet been listed for one lease; it may send nothing then
     * @throws IllegalArgumentException if {@code members} is less than 1
     */
    public void update(Table table, int members, boolean leaseUnconfirmed, boolean joining, long nowNanos) {
        if (members < 1) {
            throw new IllegalArgumentException("members must be at least 1: " + members);
        }
        hasTable = true;
        Map<String, LinkBucket> previous = new HashMap<>(buckets);
        buckets.clear();
        for (LinkRow link : table.links()) {
            if (!link.from().equals(region) || link.to().equals(region) || link.maxMbitPerSecond() == 0) {
                continue;
            }
            LinkBucket bucket = previous.get(link.to());
            if (bucket == null) {
                bucket = new LinkBucket(nowNanos);
            }
            double share = joining ? 0 : (double) link.bytesPerSecond() / members;
            bucket.share(leaseUnconfirmed ? share / 2 : share, nowNanos);
            buckets.put(link.to(), bucket);
        }
    }

    /**
     * Reserves bytes on the link to a region. Reservations of more than 50 ms of this process's part are sent at half the
     * rate, so callers reserve in smaller pieces.
     *
     * @return nanoseconds to wait before sending them; 0 for the own region and for links without a cap; -1 if nothing
     *     may be sent now, in which case nothing is reserved
     * @throws IllegalArgumentException if {@code bytes} is negative
     */
    public long reserve(String toRegion, int bytes, long nowNanos) {
        if (bytes < 0) {
            throw new IllegalArgumentException("bytes must be at least 0: " + bytes);
        }
        LinkBucket bucket = buckets.get(toRegion);
        return bucket == null ? waitWithoutBucket(toRegion) : bucket.reserve(bytes, nowNanos);
    }

    /** Returns how long a reservation of one byte would have to wait now, in nanoseconds, or -1 as for {@link #reserve}. */
    public long backlogNanos(String toRegion, long nowNanos) {
        LinkBucket bucket = buckets.get(toRegion);
        return bucket == null ? waitWithoutBucket(toRegion) : bucket.backlogNanos(nowNanos);
    }

    private long waitWithoutBucket(String toRegion) {
        return hasTable || toRegion.equals(region) ? 0 : -1;
    }
}
