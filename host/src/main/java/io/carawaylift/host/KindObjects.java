package io.carawaylift.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.decisions.replica.ObjectTable;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.peer.Message.ObjectChange;
import io.carawaylift.peer.Message.ObjectChanges;
import io.carawaylift.platform.store.StoreChanges;
import io.carawaylift.platform.store.StoreItem;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The known objects of one kind. Applies lists, changes of a watch and changes from another host, tells a listener, and
 * returns what changed in the form that other hosts read. Used on the event loop only.
 */
final class KindObjects {
    private static final RecordBytes NO_VALUE = RecordBytes.of("");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String kind;
    private final HostLoop loop;
    private final EventLog log;
    private final KindListener listener;
    private final ObjectTable<StoreItem> table = new ObjectTable<>();

    KindObjects(String kind, HostLoop loop, EventLog log, KindListener listener) {
        this.kind = kind;
        this.loop = loop;
        this.log = log;
        this.listener = listener;
    }

    int size() {
        return table.all().size();
    }

    /** Returns a digest of the names and revisions of all objects. */
    long digest() {
        return table.digest();
    }

    /** Returns all objects. */
    List<ObjectChange> all() {
        List<ObjectChange> objects = new ArrayList<>();
        table.all().forEach(version -> objects.add(toChange(version.value())));
        return objects;
    }

    /**
     * Applies a list of all objects.
     *
     * @param revision revision that the list is not older than
     * @param graceMillis time in which a missing object may still be renewed
     */
    List<ObjectChange> applyList(List<StoreItem> items, long revision, long graceMillis) {
        List<ObjectChange> applied = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (StoreItem item : items) {
            names.add(item.name());
            put(item, applied);
        }
        for (ObjectTable.Version<StoreItem> missing : table.without(names)) {
            // Keeps objects that another host saw created after this list was made.
            if (missing.revision() <= revision) {
                delete(missing.name(), missing.revision(), graceMillis, revision, applied);
            }
        }
        return applied;
    }

    /** Applies the response to a watch. */
    List<ObjectChange> applyWatch(StoreChanges changes, long graceMillis) {
        List<ObjectChange> applied = new ArrayList<>();
        for (StoreChanges.ChangedItem change : changes.changes()) {
            StoreItem item = change.item();
            if (change.deleted()) {
                delete(item.name(), item.revision(), graceMillis, changes.revision(), applied);
            } else {
                put(item, applied);
            }
        }
        return applied;
    }

    /** Applies changes that another host received from the store. */
    void applyForwarded(ObjectChanges changes) {
        List<ObjectChange> applied = new ArrayList<>();
        for (ObjectChange change : changes.changes()) {
            if (change.deleted()) {
                delete(change.name(), change.revision(), change.graceMillis(), changes.revision(), applied);
            } else {
                toItem(change).ifPresent(item -> put(item, applied));
            }
        }
    }

    private void put(StoreItem item, List<ObjectChange> applied) {
        if (table.put(item.name(), item.revision(), item)) {
            applied.add(toChange(item));
            try {
                listener.changed(item);
            } catch (RuntimeException e) {
                // One object that its reader cannot take must not end the reading of the others.
                loop.logFault(e);
            }
        }
    }

    private void delete(
            String name, long deletedRevision, long graceMillis, long knownRevision, List<ObjectChange> applied) {
        if (table.delete(name, deletedRevision)) {
            applied.add(new ObjectChange(name, deletedRevision, true, graceMillis, NO_VALUE));
            listener.deleted(name, graceMillis, knownRevision);
        }
    }

    private static ObjectChange toChange(StoreItem item) {
        try {
            RecordBytes value = RecordBytes.copyOf(MAPPER.writeValueAsBytes(item.value()));
            return new ObjectChange(item.name(), item.revision(), false, 0, value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode " + item.name(), e);
        }
    }

    private Optional<StoreItem> toItem(ObjectChange change) {
        try {
            JsonNode value = MAPPER.readTree(change.value().toArray());
            return Optional.of(new StoreItem(change.name(), change.revision(), value));
        } catch (IOException e) {
            // The message of the parser may quote the value, which may contain keys.
            String reason = e instanceof JsonProcessingException invalid && invalid.getLocation() != null
                    ? "not JSON at byte " + invalid.getLocation().getByteOffset()
                    : "not JSON";
            log.event(
                    "store.change_ignored",
                    line -> line.put("kind", kind).put("name", change.name()).put("reason", reason));
            return Optional.empty();
        }
    }
}
