package io.carawaylift.decisions.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Holds the newest known version of each object of one kind. Changes may arrive repeatedly and out of order, from the platform
 * and from other hosts; a change or deletion that is not newer than the known state is ignored. Not thread-safe.
 *
 * <p>Within an era of the store, the revision decides which version is newer. A restored store shows older versions in a
 * newer era. Where the writer's marks prove that a known version, or the removal of an object, is newer than the restored
 * one, the restored version is withheld until the object is written again. In every other case the newer era decides.
 *
 * @param <T> type of the value of an object
 */
public final class ObjectTable<T> {
    /** Maximum number of deletions kept; names are rarely reused, and late messages arrive within seconds. */
    private static final int MAX_TOMBSTONES = 4096;

    /**
     * One version of an object.
     *
     * @param position increases with every change of the object, also when it is deleted and created again
     * @param mark the writer's mark, empty if it has none
     */
    public record Version<T>(String name, StorePosition position, Optional<WriterMark> mark, T value) {
        private boolean supersedes(Version<T> other) {
            return mark.isPresent() && other.mark.isPresent() && mark.get().supersedes(other.mark.get());
        }
    }

    private record Tombstone(StorePosition position, Optional<WriterMark> mark) {}

    private final Function<T, Optional<WriterMark>> marks;
    private final Map<String, Version<T>> objects = new HashMap<>();
    private final Map<String, Version<T>> withheld = new HashMap<>();
    private final Map<String, Tombstone> tombstones = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Tombstone> eldest) {
            return size() > MAX_TOMBSTONES;
        }
    };
    private StorePosition eraStart = StorePosition.NONE;
    private long digest;

    /** Creates an empty table of objects without marks. */
    public ObjectTable() {
        this(value -> Optional.empty());
    }

    /** Creates an empty table; {@code marks} returns the writer's mark of a value, empty if it has none. */
    public ObjectTable(Function<T, Optional<WriterMark>> marks) {
        this.marks = marks;
    }

    /**
     * Takes note of a position of the store. The first one of an era separates restored objects from later writes.
     *
     * @return whether the store was restored since the last position
     */
    public boolean reached(StorePosition position) {
        if (position.era() <= eraStart.era()) {
            return false;
        }
        boolean restored = !eraStart.equals(StorePosition.NONE);
        eraStart = position;
        withheld.clear();
        return restored;
    }

    /** Stores a version of an object if it is newer than the known version or deletion; returns whether it was. */
    public boolean put(String name, StorePosition position, T value) {
        Version<T> version = new Version<>(name, position, marks.apply(value), value);
        Version<T> known = objects.get(name);
        boolean newer = known == null ? isAfterRemoval(version) : isNewer(version, known);
        if (newer) {
            adopt(version);
        }
        return newer;
    }

    private boolean isNewer(Version<T> version, Version<T> known) {
        if (version.position().era() == known.position().era()) {
            return version.position().isAfter(known.position());
        }
        boolean ofLaterEra = version.position().isAfter(known.position());
        if (ofLaterEra && known.supersedes(version)) {
            withheld.put(version.name(), version);
            return false;
        }
        if (!ofLaterEra && version.supersedes(known)) {
            withheld.put(version.name(), known);
            return true;
        }
        return ofLaterEra;
    }

    private boolean isAfterRemoval(Version<T> version) {
        Tombstone removal = tombstones.get(version.name());
        if (removal == null) {
            return true;
        }
        if (!version.position().isAfter(removal.position())) {
            return false;
        }
        if (isRestored(version, removal)) {
            withheld.put(version.name(), version);
            return false;
        }
        return true;
    }

    /** Returns whether a version may be one from before the removal that came back with a restored store. */
    private boolean isRestored(Version<T> version, Tombstone removal) {
        return version.position().era() > removal.position().era()
                && !version.position().isAfter(eraStart)
                && version.mark().isPresent()
                && removal.mark().isPresent()
                && !version.mark().get().isAfter(removal.mark().get());
    }

    private void adopt(Version<T> version) {
        String name = version.name();
        Version<T> known = objects.put(name, version);
        if (known != null) {
            digest -= digest(known);
        }
        digest += digest(version);
        tombstones.remove(name);
        Version<T> restored = withheld.get(name);
        if (restored != null && !restored.position().isAfter(version.position())) {
            withheld.remove(name);
        }
    }

    private long digest(Version<T> version) {
        return Digest64.of(
                version.name(), version.position().era(), version.position().revision());
    }

    /**
     * Applies a deletion; returns whether it removed a known object.
     *
     * @param position position of the version that was deleted, or a later one
     */
    public boolean delete(String name, StorePosition position) {
        Version<T> restored = withheld.get(name);
        if (restored != null && !restored.position().isAfter(position)) {
            withheld.remove(name);
        }
        Version<T> known = objects.get(name);
        if (known == null) {
            tombstones.merge(
                    name,
                    new Tombstone(position, Optional.empty()),
                    (before, later) ->
                            new Tombstone(StorePosition.max(before.position(), later.position()), before.mark()));
            return false;
        }
        if (known.position().isAfter(position)) {
            return false;
        }
        objects.remove(name);
        digest -= digest(known);
        tombstones.put(name, new Tombstone(position, known.mark()));
        return true;
    }

    /** Returns whether a version of the restored store is withheld because a newer one, or a removal, is known. */
    public boolean isWithheld(String name) {
        return withheld.containsKey(name);
    }

    /** Returns whether any version of the restored store is withheld, so that the table differs from the store. */
    public boolean withholdsAny() {
        return !withheld.isEmpty();
    }

    /** Returns the known objects of which the store has only an older version. */
    public List<Version<T>> newerThanStore() {
        return withheld.keySet().stream()
                .filter(objects::containsKey)
                .map(objects::get)
                .toList();
    }

    /**
     * Stores the withheld version of an object after all, since its writer kept it; returns it, or empty if none is
     * withheld or another one than that of the given position.
     */
    public Optional<Version<T>> release(String name, StorePosition position) {
        Version<T> restored = withheld.get(name);
        if (restored == null || !restored.position().equals(position)) {
            return Optional.empty();
        }
        adopt(restored);
        return Optional.of(restored);
    }

    /** Returns the known version of an object, empty if there is none. */
    public Optional<Version<T>> find(String name) {
        return Optional.ofNullable(objects.get(name));
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

    /** Returns a 64-bit digest of all names and positions; equal tables have equal digests, deletions are not included. */
    public long digest() {
        return digest;
    }
}
