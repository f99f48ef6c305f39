package io.carawaylift.testing.upstream;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts runs by request id, ticket and path. When the map is full, further runs are only reported as overflow.
 * Thread-safe.
 */
final class RunCounts {
    private static final int MAX_KEYS = 400_000;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private volatile boolean overflowed;

    void add(String kind, String key) {
        if (runs.size() >= MAX_KEYS) {
            overflowed = true;
            return;
        }
        runs.merge(kind + ":" + key, 1, Integer::sum);
    }

    /** Removes the counts that the check of at-most-once requests does not need, so that long tests do not overflow. */
    void removeIdempotent() {
        runs.keySet().removeIf(key -> key.startsWith("repeatable:") || key.startsWith("id:"));
    }

    boolean overflowed() {
        return overflowed;
    }

    int count(String kind, String key) {
        return runs.getOrDefault(kind + ":" + key, 0);
    }

    /** Returns the counts of one kind by key. */
    Map<String, Integer> countsByKey(String kind) {
        Map<String, Integer> found = new TreeMap<>();
        runs.forEach((key, number) -> {
            if (key.startsWith(kind + ":")) {
                found.put(key.substring(kind.length() + 1), number);
            }
        });
        return found;
    }
}
