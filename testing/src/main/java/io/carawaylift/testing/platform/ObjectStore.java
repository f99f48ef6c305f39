package io.carawaylift.testing.platform;

import io.carawaylift.model.RecordBytes;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Versioned objects and the watches on them. The version of an object is the store's revision at its last change, so
 * versions rise with gaps and the first version of an object is seldom 1. Guarded by its own lock.
 */
final class ObjectStore {
    /** Expected version of an object that must not exist. */
    static final long ABSENT = 0;

    private final TreeMap<String, Stored> objects = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;

    record Stored(RecordBytes value, long version) {}

    record Change(String name, long version) {}

    record Changes(long revision, List<Change> changes) {}

    /** A waiting watch; its answer is given once. */
    interface WatchAnswer {
        void answer(Changes changes);
    }

    private record Watch(String prefix, long after, WatchAnswer answer) {}

    synchronized Optional<Stored> read(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    synchronized Changes list(String prefix) {
        return changesAfter(prefix, -1);
    }

    /** Writes if the version is {@code expected}; returns the new version, or empty on a conflict. */
    Optional<Long> write(String name, RecordBytes value, long expected) {
        List<Watch> woken;
        long version;
        synchronized (this) {
            Stored stored = objects.get(name);
            if ((stored == null ? ABSENT : stored.version()) != expected) {
                return Optional.empty();
            }
            version = put(name, value);
            woken = wokenBy(name);
        }
        wake(woken);
        return Optional.of(version);
    }

    /** Writes unconditionally, as the platform itself does with its own lists. */
    void overwrite(String name, RecordBytes value) {
        List<Watch> woken;
        synchronized (this) {
            put(name, value);
            woken = wokenBy(name);
        }
        wake(woken);
    }

    /** Answers at once if something changed after the revision, else when something changes. */
    void watch(String prefix, long after, WatchAnswer answer) {
        Changes changes;
        synchronized (this) {
            changes = changesAfter(prefix, after);
            if (changes.changes().isEmpty()) {
                watches.add(new Watch(prefix, after, answer));
                return;
            }
        }
        answer.answer(changes);
    }

    /** Ends a watch; returns the current revision without changes. */
    synchronized Changes forget(WatchAnswer answer) {
        watches.removeIf(watch -> watch.answer() == answer);
        return new Changes(revision, List.of());
    }

    synchronized int waiting() {
        return watches.size();
    }

    /** Returns the newest change with the prefix at or before a revision, which a client has seen already. */
    synchronized Optional<Change> lastSeen(String prefix, long after) {
        Change last = null;
        for (Map.Entry<String, Stored> entry : objects.tailMap(prefix).entrySet()) {
            long version = entry.getValue().version();
            boolean seen = entry.getKey().startsWith(prefix) && version <= after;
            if (seen && (last == null || version > last.version())) {
                last = new Change(entry.getKey(), version);
            }
        }
        return Optional.ofNullable(last);
    }

    private long put(String name, RecordBytes value) {
        revision++;
        objects.put(name, new Stored(value, revision));
        return revision;
    }

    private Changes changesAfter(String prefix, long after) {
        List<Change> changes = new ArrayList<>();
        for (Map.Entry<String, Stored> entry : objects.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getValue().version() > after) {
                changes.add(new Change(entry.getKey(), entry.getValue().version()));
            }
        }
        return new Changes(revision, changes);
    }

    private List<Watch> wokenBy(String name) {
        List<Watch> woken = new ArrayList<>();
        for (Iterator<Watch> iterator = watches.iterator(); iterator.hasNext(); ) {
            Watch watch = iterator.next();
            if (name.startsWith(watch.prefix())) {
                iterator.remove();
                woken.add(watch);
            }
        }
        return woken;
    }

    private void wake(List<Watch> woken) {
        for (Watch watch : woken) {
            watch.answer().answer(changesSince(watch));
        }
    }

    private synchronized Changes changesSince(Watch watch) {
        return changesAfter(watch.prefix(), watch.after());
    }
}
