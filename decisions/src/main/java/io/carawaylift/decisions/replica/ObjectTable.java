package io.carawaylift.decisions.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the newest known version of each object of one kind. Changes may arrive repeatedly and out of order, from the platform
 * and from other hosts; a change or deletion that is not newer than the known state is ignored. Not thread-safe.
 *
 * @param <T> type of the value of an object
 */
public final class ObjectTable<T> {
    /** Maximum number of deletions kept; names are rarely reused, and late messages arrive within seconds. */
    private static final int MAX_TOMBSTONES = 4096;

    /**
     * One version of an object.
     *
     * @param revision increases with every change of the object, also when it is deleted and created again
     */
    public record Version<T>(String name, long revision, T value) {}

    private final Map<String, Version<T>> objects = new HashMap<>();
    private final Map<String, Long> tombstones = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_TOMBSTONES;
        }
    };
    private long digest;

    /** Creates an empty table. */
    public ObjectTable() {}

    /** Stores a version of an object if it is newer than the known version or deletion; returns whether it was. */
    public boolean put(String name, long revision, T value) {
        Version<T> known = objects.get(name);
        long newest = known == null ? tombstones.getOrDefault(name, Long.MIN_VALUE) : known.revision();
        if (revision <= newest) {
            return false;
        }
        if (known != null) {
            digest -= Digest64.of(name, known.revision());
        }
        digest += Digest64.of(name, revision);
        objects.put(name, new Version<>(name, revision, value));
        tombstones.remove(name);
        return true;
    }

    /**
     * Applies a deletion; returns whether it removed a known object.
     *
     * @param revision revision of the version that was deleted, or a later one
     */
    public boolean delete(String name, long revision) {
        Version<T> known = objects.get(name);
        if (known == null) {
            tombstones.merge(name, revision, Math::max);
            return false;
        }
        if (known.revision() > revision) {
            return false;
        }
        objects.remove(name);
        digest -= Digest64.of(name, known.revision());
        tombstones.put(name, revision);
        return true;
    }

    /** Returns the objects whose names are not in the set, for example those missing from a new full list. */
    public List<Version<T>> without(Set<String> names) {
        List<Version<T>> others = new ArrayList<>();
        for (Version<T> each : objects.values()) {
            if (!names.contains(each.name())) {
                others.add(each);
            }
        }
        return others;
    }

    /** Returns the newest version of each object. */
    public Collection<Version<T>> all() {
        return List.copyOf(objects.values());
    }

    /** Returns a 64-bit digest of all names and revisions; equal tables have equal digests, deletions are not included. */
    public long digest() {
        return digest;
    }
}
