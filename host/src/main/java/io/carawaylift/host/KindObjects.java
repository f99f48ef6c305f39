package io.carawaylift.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.decisions.customer.ClockReading;
import io.carawaylift.decisions.replica.ObjectTable;
import io.carawaylift.decisions.replica.StorePosition;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.peer.Message.ObjectChange;
import io.carawaylift.peer.Message.ObjectChanges;
import io.carawaylift.platform.store.StoreChanges;
import io.carawaylift.platform.store.StoreItem;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The known objects of one kind. Applies lists, changes of a watch and changes from another host, tells a listener, and
 * returns what changed in the form that other hosts read. Used on the event loop only.
 */
final class KindObjects {
    /** Time after the store is back in which live writers write their objects again that expired or were lost. */
    static final long RENEWAL_MILLIS = 2000;

    private static final RecordBytes NO_VALUE = RecordBytes.of("");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String kind;
    private final HostLoop loop;
    private final EventLog log;
    private final KindListener listener;
    private final ObjectTable<StoreItem> table;

    KindObjects(String kind, HostLoop loop, EventLog log, KindListener listener) {
        this.kind = kind;
        this.loop = loop;
        this.log = log;
        this.listener = listener;
        this.table = new ObjectTable<>(listener::mark);
    }

    int size() {
        return table.all().size();
    }

    /** Returns a digest of the names and positions of all objects. */
    long digest() {
        return table.digest();
    }

    /** Returns all objects. */
    List<ObjectChange> all() {
        return toChanges(table.all());
    }

    /** Returns the objects of which a restored store has only an older version. */
    List<ObjectChange> newerThanStore() {
        return toChanges(table.newerThanStore());
    }

    /** Tells the listener that the objects were those of the store at a time, unless a restored store has older ones. */
    void proven(ClockReading at) {
        if (!table.withholdsAny()) {
            listener.proven(at);
        }
    }

    /**
     * Applies a list of all objects.
     *
     * @param position position that the list is not older than
     * @param graceMillis time in which a missing object of the same era may still be written again
     */
    List<ObjectChange> applyList(List<StoreItem> items, StorePosition position, long graceMillis) {
        reached(position);
        List<ObjectChange> applied = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (StoreItem item : items) {
            names.add(item.name());
            put(item, position.era(), applied);
        }
        for (ObjectTable.Version<StoreItem> missing : table.without(names)) {
            // Keeps objects that another host saw created after this list was made.
            if (!missing.position().isAfter(position)) {
                boolean lost = missing.position().era() < position.era();
                delete(missing.name(), missing.position(), lost ? RENEWAL_MILLIS : graceMillis, position, applied);
            }
        }
        return applied;
    }

    /** Applies the response to a watch. */
    List<ObjectChange> applyWatch(StoreChanges changes, long graceMillis) {
        long era = changes.position().era();
        List<ObjectChange> applied = new ArrayList<>();
        for (StoreChanges.ChangedItem change : changes.changes()) {
            StoreItem item = change.item();
            if (change.deleted()) {
                StorePosition deleted = new StorePosition(era, item.revision());
                delete(item.name(), deleted, graceMillis, changes.position(), applied);
            } else {
                put(item, era, applied);
            }
        }
        return applied;
    }

    /** Applies changes that another host received from the store. */
    void applyForwarded(ObjectChanges changes) {
        StorePosition known = new StorePosition(changes.era(), changes.revision());
        reached(known);
        List<ObjectChange> applied = new ArrayList<>();
        for (ObjectChange change : changes.changes()) {
            if (change.deleted()) {
                StorePosition deleted = new StorePosition(change.era(), change.revision());
                delete(change.name(), deleted, change.graceMillis(), known, applied);
            } else {
                toItem(change).ifPresent(item -> put(item, change.era(), applied));
            }
        }
    }

    private void reached(StorePosition position) {
        if (table.reached(position)) {
            log.event(
                    "store.restored",
                    line -> line.put("kind", kind).put("era", position.era()).put("revision", position.revision()));
        }
    }

    private void put(StoreItem item, long era, List<ObjectChange> applied) {
        StorePosition position = new StorePosition(era, item.revision());
        if (table.put(item.name(), position, item)) {
            applied.add(toChange(item, era));
            tell(item);
        } else if (table.isWithheld(item.name())) {
            log.event(
                    "store.object_withheld",
                    line -> line.put("kind", kind)
                            .put("name", item.name())
                            .put("era", era)
                            .put("revision", item.revision()));
            listener.restoredLifetime()
                    .ifPresent(lifetime -> loop.after(lifetime.toMillis(), () -> release(item.name(), position)));
        }
    }

    /** Takes a withheld object as the restored store has it. */
    private void release(String name, StorePosition position) {
        table.release(name, position).ifPresent(version -> {
            log.event("store.object_released", line -> line.put("kind", kind).put("name", name));
            tell(version.value());
        });
    }

    private void tell(StoreItem item) {
        try {
            listener.changed(item);
        } catch (RuntimeException e) {
            // One object that its reader cannot take must not end the reading of the others.
            loop.logFault(e);
        }
    }

    private void delete(
            String name, StorePosition deleted, long graceMillis, StorePosition known, List<ObjectChange> applied) {
        boolean lost = table.find(name)
                .map(version -> version.position().era() < known.era())
                .orElse(false);
        if (table.delete(name, deleted)) {
            applied.add(new ObjectChange(name, deleted.era(), deleted.revision(), true, graceMillis, NO_VALUE));
            listener.deleted(new KindListener.Removal(name, graceMillis, lost, known));
        }
    }

    private static List<ObjectChange> toChanges(Collection<ObjectTable.Version<StoreItem>> versions) {
        return versions.stream()
                .map(version -> toChange(version.value(), version.position().era()))
                .toList();
    }

    private static ObjectChange toChange(StoreItem item, long era) {
        try {
            RecordBytes value = RecordBytes.copyOf(MAPPER.writeValueAsBytes(item.value()));
            return new ObjectChange(item.name(), era, item.revision(), false, 0, value);
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
