package io.carawaylift.testing.platform;

import io.carawaylift.model.RecordBytes;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Stores versioned objects in memory and notifies watches of changes. The version of an object is the revision of the store
 * at its last change, so versions increase with gaps and the first version of an object is usually not 1. Thread-safe.
 */
final class InMemoryObjectStore {
    /** Expected version for creating an object that must not exist yet. */
    static final long ABSENT = 0;

    private final TreeMap<String, VersionedValue> objects = new TreeMap<>();
    private final List<PendingWatch> watches = new ArrayList<>();
    private long revision;

    record VersionedValue(RecordBytes value, long version) {}

    record ChangedObject(String name, long version) {}

    record ChangedObjects(long revision, List<ChangedObject> changes) {}

    /** Callback of a watch, called at most once by the store. */
    interface WatchCallback {
        void changed(ChangedObjects changes);
    }

    private record PendingWatch(String prefix, long afterRevision, WatchCallback callback) {}

    synchronized Optional<VersionedValue> read(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    synchronized ChangedObjects list(String prefix) {
        return changesAfter(prefix, -1);
    }

    /** Writes an object if it has the expected version; returns the new version, or empty on a conflict. */
    Optional<Long> write(String name, RecordBytes value, long expectedVersion) {
        List<PendingWatch> triggered;
        long version;
        synchronized (this) {
            VersionedValue stored = objects.get(name);
            if ((stored == null ? ABSENT : stored.version()) != expectedVersion) {
                return Optional.empty();
            }
            version = put(name, value);
            triggered = removeTriggered(name);
        }
        notifyWatches(triggered);
        return Optional.of(version);
    }

    /** Writes an object unconditionally, as the platform does with its own lists. */
    void overwrite(String name, RecordBytes value) {
        List<PendingWatch> triggered;
        synchronized (this) {
            put(name, value);
            triggered = removeTriggered(name);
        }
        notifyWatches(triggered);
    }

    /** Calls back immediately if an object with the prefix changed after the revision, otherwise on the next such change. */
    void watch(String prefix, long afterRevision, WatchCallback callback) {
        ChangedObjects changes;
        synchronized (this) {
            changes = changesAfter(prefix, afterRevision);
            if (changes.changes().isEmpty()) {
                watches.add(new PendingWatch(prefix, afterRevision, callback));
                return;
            }
        }
        callback.changed(changes);
    }

    /** Cancels a watch if it is pending; returns the current revision without changes. */
    synchronized ChangedObjects cancelWatch(WatchCallback callback) {
        watches.removeIf(watch -> watch.callback() == callback);
        return new ChangedObjects(revision, List.of());
    }

    synchronized int pendingWatchCount() {
        return watches.size();
    }

    /** Returns the last change with the prefix up to and including a revision, which the client has already seen. */
    synchronized Optional<ChangedObject> lastChangeUpTo(String prefix, long afterRevision) {
        ChangedObject last = null;
        for (Map.Entry<String, VersionedValue> entry : objects.tailMap(prefix).entrySet()) {
            long version = entry.getValue().version();
            boolean matches = entry.getKey().startsWith(prefix) && version <= afterRevision;
            if (matches && (last == null || version > last.version())) {
                last = new ChangedObject(entry.getKey(), version);
            }
        }
        return Optional.ofNullable(last);
    }

    private long put(String name, RecordBytes value) {
        revision++;
        objects.put(name, new VersionedValue(value, revision));
        return revision;
    }

    private ChangedObjects changesAfter(String prefix, long afterRevision) {
        List<ChangedObject> changes = new ArrayList<>();
        for (Map.Entry<String, VersionedValue> entry : objects.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getValue().version() > afterRevision) {
                changes.add(new ChangedObject(entry.getKey(), entry.getValue().version()));
            }
        }
        return new ChangedObjects(revision, changes);
    }

    private List<PendingWatch> removeTriggered(String name) {
        List<PendingWatch> triggered = new ArrayList<>();
        for (Iterator<PendingWatch> iterator = watches.iterator(); iterator.hasNext(); ) {
            PendingWatch watch = iterator.next();
            if (name.startsWith(watch.prefix())) {
                iterator.remove();
                triggered.add(watch);
            }
        }
        return triggered;
    }

    private void notifyWatches(List<PendingWatch> triggered) {
        for (PendingWatch watch : triggered) {
            watch.callback().changed(changesSince(watch));
        }
    }

    private synchronized ChangedObjects changesSince(PendingWatch watch) {
        return changesAfter(watch.prefix(), watch.afterRevision());
    }
}
