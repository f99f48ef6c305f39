package io.carawaylift.decisions.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides which entries of hosts that are gone are removed from the store. The first relay of a region removes the entries
 * of its region, since all live hosts of the region report to it. A host that was only out of reach writes its entry
 * again, so a wrong removal costs two writes. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class EntryCollector {
    /** Long against restarts and interruptions of the network, and short against the replacements of a day. */
    public static final long MIN_SILENCE_NANOS = 600_000_000_000L;

    /** Interval between removals, so that a relay that hears no other host does not remove all entries at once. */
    public static final long MIN_INTERVAL_NANOS = 1_000_000_000L;

    private final Map<String, Long> silentSince = new HashMap<>();
    private boolean removed;
    private long removedNanos;

    /** Creates a collector that has not heard of any host. */
    public EntryCollector() {}

    /**
     * Records which of the listed hosts are live. The silence of a host that is not live starts with the first call that
     * finds it so.
     */
    public void update(Collection<String> listed, Predicate<String> live, long nowNanos) {
        silentSince.keySet().retainAll(listed);
        for (String host : listed) {
            if (live.test(host)) {
                silentSince.remove(host);
            } else {
                silentSince.putIfAbsent(host, nowNanos);
            }
        }
    }

    /** Returns the host whose entry is to be removed now, the one that has been silent for longest; empty if none is. */
    public Optional<String> next(long nowNanos) {
        if (removed && nowNanos - removedNanos < MIN_INTERVAL_NANOS) {
            return Optional.empty();
        }
        Optional<String> longest = silentSince.entrySet().stream()
                .filter(host -> nowNanos - host.getValue() >= MIN_SILENCE_NANOS)
                .max((a, b) -> Long.compare(nowNanos - a.getValue(), nowNanos - b.getValue()))
                .map(Map.Entry::getKey);
        longest.ifPresent(host -> {
            removed = true;
            removedNanos = nowNanos;
        });
        return longest;
    }
}
