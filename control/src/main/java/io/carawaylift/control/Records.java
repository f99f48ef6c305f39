package io.carawaylift.control;

import io.carawaylift.decisions.replica.RecordDelta;
import io.carawaylift.decisions.replica.ReplicaStore;
import io.carawaylift.model.AcceptedTable;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Stores the newest known records and decodes those that decisions need. Used on the decision thread only. */
final class Records {
    private static final Logger LOG = System.getLogger(Records.class.getName());

    private final ReplicaStore store = new ReplicaStore();
    private final String region;
    private final Map<String, VersionedOwners> regionOwners = new TreeMap<>();
    private final Map<String, EndpointList> regionLists = new TreeMap<>();
    private final Set<String> readFromPlatform = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();
    private AcceptedTable table;
    private boolean synchronizedOnce;

    Records(String region) {
        this.region = region;
    }

    /** Adds a listener. Listeners are called in the order in which they were added. */
    void addListener(Listener listener) {
        listeners.add(listener);
    }

    ReplicaStore store() {
        return store;
    }

    /** Returns the newest owners of the failure domains of the region, by record name. */
    Map<String, VersionedOwners> regionOwners() {
        return regionOwners;
    }

    /** Returns the endpoint lists of the region. */
    Collection<EndpointList> regionLists() {
        return regionLists.values();
    }

    Optional<AcceptedTable> table() {
        return Optional.ofNullable(table);
    }

    /** Returns whether this process has read the record directly from the platform. */
    boolean isReadFromPlatform(String name) {
        return readFromPlatform.contains(name);
    }

    /** Returns whether the records were received from the platform or from a peer that had synchronized with it. */
    boolean isSynchronized() {
        return synchronizedOnce;
    }

    void markSynchronized() {
        if (!synchronizedOnce) {
            synchronizedOnce = true;
            LOG.log(
                    Level.INFO,
                    "synchronized with {0} records",
                    store.versions().size());
            listeners.forEach(Listener::recordsSynchronized);
        }
    }

    /** Accepts a version of a record; ignores an older one. */
    void accept(String name, long version, RecordBytes value, boolean fromPlatform) {
        if (!RecordNames.isReplicated(name)) {
            return;
        }
        Optional<ReplicaStore.Entry> before = store.read(name);
        boolean newer = store.putIfNewer(name, version, value);
        recordAccepted(name, before, newer, fromPlatform);
    }

    /** Applies a change of a record; returns false if the complete record is needed instead. */
    boolean accept(String name, RecordDelta delta) {
        Optional<ReplicaStore.Entry> before = store.read(name);
        if (!RecordNames.isReplicated(name) || !store.applyDelta(name, delta)) {
            return false;
        }
        long versionBefore = before.map(ReplicaStore.Entry::version).orElse(0L);
        if (store.read(name).orElseThrow().version() > versionBefore) {
            recordAccepted(name, before, true, false);
        }
        return true;
    }

    private void recordAccepted(String name, Optional<ReplicaStore.Entry> before, boolean newer, boolean fromPlatform) {
        ReplicaStore.Entry entry = store.read(name).orElseThrow();
        if (newer) {
            decode(name, entry);
        }
        if (fromPlatform) {
            readFromPlatform.add(name);
        }
        VersionedOwners owners = regionOwners.get(name);
        if (owners != null && owners.version() == entry.version() && (newer || fromPlatform)) {
            listeners.forEach(listener -> listener.ownersRead(name, owners, fromPlatform));
        }
        if (newer) {
            listeners.forEach(listener -> listener.recordChanged(name, before));
        }
    }

    private void decode(String name, ReplicaStore.Entry entry) {
        try {
            if (name.equals(RecordNames.TABLE)) {
                table = RecordCodec.decode(entry.value(), AcceptedTable.class);
            } else if (name.startsWith(RecordNames.OWNERS_PREFIX)) {
                OwnersRecord record = RecordCodec.decode(entry.value(), OwnersRecord.class);
                listeners.forEach(listener -> listener.membersRead(record));
                if (region.equals(record.region())) {
                    regionOwners.put(name, new VersionedOwners(entry.version(), record, System.nanoTime()));
                }
            } else if (name.startsWith(RecordNames.HOSTS_PREFIX)) {
                EndpointList list = RecordCodec.decode(entry.value(), EndpointList.class);
                if (region.equals(list.region())) {
                    regionLists.put(name, list);
                }
            }
        } catch (IllegalArgumentException e) {
            // Decisions use the last version that could be decoded; the record is still replicated to others.
            LOG.log(Level.ERROR, "record " + name + " version " + entry.version() + " cannot be decoded", e);
        }
    }

    /**
     * A version of an {@code owners/} record.
     *
     * @param knownSinceNanos {@link System#nanoTime} at which this process received the version
     */
    record VersionedOwners(long version, OwnersRecord record, long knownSinceNanos) {}

    /** Receives changes of the records. */
    interface Listener {
        /** A newer {@code owners/} record of any region was received; called for its members. */
        default void membersRead(OwnersRecord owners) {}

        /**
         * A newer {@code owners/} record of the region was received, or the same version was read from the platform.
         */
        default void ownersRead(String name, VersionedOwners owners, boolean fromPlatform) {}

        /** A newer version of a record was stored; {@code before} is the version that it replaced. */
        default void recordChanged(String name, Optional<ReplicaStore.Entry> before) {}

        /** The records were synchronized with the platform or a peer for the first time. */
        default void recordsSynchronized() {}
    }
}
