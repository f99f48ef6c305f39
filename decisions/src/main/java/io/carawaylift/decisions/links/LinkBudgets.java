package io.carawaylift.decisions.links;

import io.carawaylift.model.LinkRow;
import io.carawaylift.model.Table;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Limits the bytes that one entry process sends to other regions, with a token bucket per link. Times are monotonic
 * nanoseconds. Not thread-safe.
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
     * Sets the shares of the link caps from the table: each member of the region gets an equal share.
     *
     * @param members number of members of this region with a valid lease, including this process; at least 1
     * @param leaseUnconfirmed whether this process has had no confirmation for one lease duration; halves its share
     * @param joining whether this process has been listed for less than one lease duration; it may not send then
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
     * Reserves bytes on the link to a region. The part of a reservation above 50 ms of this process's share is
     * charged twice and so is sent at half the rate; callers reserve in smaller pieces.
     *
     * @return nanoseconds to wait before sending; 0 for this region and for links without a cap; -1 if nothing may be sent now
     *     and nothing was reserved
     * @throws IllegalArgumentException if {@code bytes} is negative
     */
    public long reserve(String toRegion, int bytes, long nowNanos) {
        if (bytes < 0) {
            throw new IllegalArgumentException("bytes must be at least 0: " + bytes);
        }
        LinkBucket bucket = buckets.get(toRegion);
        return bucket == null ? waitWithoutBucket(toRegion) : bucket.reserve(bytes, nowNanos);
    }

    /** Returns the wait for a reservation of one byte in nanoseconds, or -1 as for {@link #reserve}. */
    public long backlogNanos(String toRegion, long nowNanos) {
        LinkBucket bucket = buckets.get(toRegion);
        return bucket == null ? waitWithoutBucket(toRegion) : bucket.backlogNanos(nowNanos);
    }

    private long waitWithoutBucket(String toRegion) {
        return hasTable || toRegion.equals(region) ? 0 : -1;
    }
}
