package io.carawaylift.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.decisions.replica.ObjectTable;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.peer.Message.ObjectChange;
import io.carawaylift.peer.Message.ObjectPosition;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.StoreChanges;
import io.carawaylift.platform.store.StoreException;
import io.carawaylift.platform.store.StoreItem;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/**
 * Follows the objects of one kind: lists them in the store, then watches for changes, and lists them again when the store no
 * longer has the history. While another host of the region confirms that it is up to date and that both know the same, the
 * changes come from there and no call is made. Used on the event loop only.
 */
final class KindWatcher {
    /** Waits of a watch; each costs a call, and a lost connection is noticed earlier by the kernel's probes. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(20);

    /** Waits of a watch whose answers show other hosts that the store is reached. */
    private static final Duration CONFIRMING_WAIT = Duration.ofSeconds(1);

    /** Pause before the next watch after changes, so that changes that come together cost one call. */
    private static final long COALESCE_MILLIS = 150;

    /**
     * Age of a confirmation after which the host watches for itself: one confirming wait and some delay. A change is then
     * known well within the shortest time that the platform allows after it was accepted, about two seconds.
     */
    private static final long CONFIRMED_NANOS = 1_500_000_000L;

    /** Waits of a watch that may soon be needless because another host confirms, or whose host may become the relay. */
    private static final Duration UNCONFIRMED_WAIT = Duration.ofSeconds(3);

    /** Time in which the hosts of a region have found each other. */
    private static final long STARTING_NANOS = 8_000_000_000L;

    /** Time beyond its wait after which the answer to a watch no longer shows what the store holds now. */
    private static final long LATE_NANOS = 600_000_000L;

    /** Entries that expired while the store was away are back this long after its return, if their writers live. */
    private static final long RETURN_OF_ENTRIES_MILLIS = 2000;

    private static final RecordBytes NO_VALUE = RecordBytes.of("");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String kind;
    private final ObjectStoreClient store;
    private final HostLoop loop;
    private final EventLog log;
    private final Listener listener;
    private final StoreRetries retries;
    private final StoreRelay relay;
    private final ObjectTable<StoreItem> table = new ObjectTable<>();
    private long startedNanos;
    private long revision;
    private long confirmedNanos;
    private boolean confirmedOnce;
    private boolean listed;
    private boolean available = true;
    private boolean following;
    private boolean stopped;

    /** Receives objects on the event loop. */
    interface Listener {
        /** An object is new or has a newer value. */
        void changed(StoreItem item);

        /**
         * An object is gone.
         *
         * @param graceMillis time for which it may still return, because it may have expired while the store was away
         */
        void deleted(String name, long graceMillis);

        /** All objects of the kind are known. */
        void synchronizedWithStore();
    }

    KindWatcher(
            String kind,
            ObjectStoreClient store,
            StoreRetries retries,
            StoreRelay relay,
            HostLoop loop,
            EventLog log,
            Listener listener) {
        this.kind = kind;
        this.store = store;
        this.retries = retries;
        this.relay = relay;
        this.loop = loop;
        this.log = log;
        this.listener = listener;
        relay.add(this);
    }

    String kind() {
        return kind;
    }

    /** Starts to follow the kind. */
    void start() {
        startedNanos = System.nanoTime();
        list();
    }

    /** Ends after the call that is in flight. */
    void stop() {
        stopped = true;
    }

    /** Returns whether all objects of the kind are known. */
    boolean isListed() {
        return listed;
    }

    /** Returns whether the last call was answered. */
    boolean isAvailable() {
        return available;
    }

    /** Returns what is known, for comparison with another host. */
    ObjectPosition position() {
        return new ObjectPosition(kind, revision, table.digest());
    }

    /** Returns all known objects. */
    List<ObjectChange> objects() {
        List<ObjectChange> objects = new ArrayList<>();
        table.all().forEach(version -> objects.add(change(version.value())));
        return objects;
    }

    private void list() {
        list("", 0, new ArrayList<>());
    }

    private void list(String after, long firstRevision, List<StoreItem> items) {
        if (stopped) {
            return;
        }
        loop.handle(store.list(kind, after), (page, failure) -> {
            if (failure != null) {
                failed(failure);
                relay.askForObjects(kind);
                retries.retryLater(this::resume);
                return;
            }
            succeeded();
            // Changes made between two pages are watched for again, so that none on an earlier page is missed.
            long from = after.isEmpty() ? page.revision() : firstRevision;
            items.addAll(page.items());
            if (page.hasNextPage() && !page.items().isEmpty()) {
                list(items.get(items.size() - 1).name(), from, items);
            } else {
                listed(items, from);
            }
        });
    }

    private void listed(List<StoreItem> items, long from) {
        List<ObjectChange> changes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (StoreItem item : items) {
            names.add(item.name());
            put(item, changes);
        }
        long grace = graceMillis();
        for (ObjectTable.Version<StoreItem> gone : table.without(names)) {
            // Objects that another host saw created after the list was made are not gone.
            if (gone.revision() <= from) {
                delete(gone.name(), gone.revision(), grace, changes);
            }
        }
        revision = Math.max(revision, from);
        completed("store", items.size());
        relay.changed(kind, changes);
        relay.confirmed();
        next();
    }

    private void completed(String source, int objects) {
        if (!listed) {
            log.event(
                    "store.listed",
                    line -> line.put("kind", kind)
                            .put("source", source)
                            .put("objects", objects)
                            .put("revision", revision));
        }
        listed = true;
        listener.synchronizedWithStore();
    }

    /** Continues after a failure. */
    private void resume() {
        if (listed) {
            next();
        } else {
            list();
        }
    }

    private void next() {
        if (stopped) {
            return;
        }
        long left = CONFIRMED_NANOS - (System.nanoTime() - confirmedNanos);
        boolean confirmed = confirmedOnce && left > 0 && !relay.isRelay();
        setFollowing(confirmed);
        if (confirmed) {
            loop.after(TimeUnit.NANOSECONDS.toMillis(left) + 1, this::next);
        } else {
            watch();
        }
    }

    private void setFollowing(boolean newValue) {
        if (following != newValue) {
            following = newValue;
            log.event(
                    "store.source",
                    line -> line.put("kind", kind)
                            .put("source", newValue ? "host" : "store")
                            .put("revision", revision));
        }
    }

    private void watch() {
        Duration wait = watchWait();
        long sentNanos = System.nanoTime();
        loop.handle(store.watch(kind, revision, wait), (changes, failure) -> {
            if (failure == null) {
                long grace = available ? 0 : graceMillis();
                succeeded();
                changed(changes, grace);
                if (System.nanoTime() - sentNanos < wait.toNanos() + LATE_NANOS) {
                    relay.confirmed();
                }
            } else if (cause(failure) instanceof StoreException refused && refused.historyExpired()) {
                log.event("store.history_gone", line -> line.put("kind", kind).put("revision", revision));
                list();
            } else {
                failed(failure);
                retries.retryLater(this::resume);
            }
        });
    }

    private Duration watchWait() {
        if (relay.confirmsWith(kind)) {
            return CONFIRMING_WAIT;
        }
        boolean starting = System.nanoTime() - startedNanos < STARTING_NANOS;
        return starting || relay.isFollower() ? UNCONFIRMED_WAIT : WATCH_WAIT;
    }

    private void changed(StoreChanges changes, long grace) {
        List<ObjectChange> news = new ArrayList<>();
        for (StoreChanges.ChangedItem change : changes.changes()) {
            if (change.deleted()) {
                delete(change.item().name(), change.item().revision(), grace, news);
            } else {
                put(change.item(), news);
            }
        }
        revision = Math.max(revision, changes.revision());
        relay.changed(kind, news);
        if (changes.changes().isEmpty()) {
            next();
        } else {
            loop.after(COALESCE_MILLIS, this::next);
        }
    }

    private void put(StoreItem item, List<ObjectChange> news) {
        if (table.put(item.name(), item.revision(), item)) {
            news.add(change(item));
            listener.changed(item);
        }
    }

    private void delete(String name, long deletedRevision, long grace, List<ObjectChange> news) {
        if (table.delete(name, deletedRevision)) {
            news.add(new ObjectChange(name, deletedRevision, true, grace, NO_VALUE));
            listener.deleted(name, grace);
        }
    }

    private long graceMillis() {
        return Math.max(0, RETURN_OF_ENTRIES_MILLIS - retries.millisSinceReturn());
    }

    /** Takes changes that another host learned from the store. */
    void takeChanges(List<ObjectChange> changes) {
        for (ObjectChange change : changes) {
            if (change.deleted()) {
                delete(change.name(), change.revision(), change.graceMillis(), new ArrayList<>());
            } else {
                item(change).ifPresent(item -> put(item, new ArrayList<>()));
            }
        }
    }

    /**
     * Takes the position of another host, after its changes.
     *
     * @param current whether the store has just confirmed it to that host
     */
    void takePosition(ObjectPosition position, boolean current) {
        if (position.digest() != table.digest()) {
            return;
        }
        if (!listed) {
            revision = Math.max(revision, position.revision());
            completed("host", table.all().size());
        }
        if (!current) {
            return;
        }
        revision = Math.max(revision, position.revision());
        confirmedNanos = System.nanoTime();
        confirmedOnce = true;
        succeeded();
    }

    private static ObjectChange change(StoreItem item) {
        try {
            RecordBytes value = RecordBytes.copyOf(MAPPER.writeValueAsBytes(item.value()));
            return new ObjectChange(item.name(), item.revision(), false, 0, value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode " + item.name(), e);
        }
    }

    private Optional<StoreItem> item(ObjectChange change) {
        try {
            JsonNode value = MAPPER.readTree(change.value().toArray());
            return Optional.of(new StoreItem(change.name(), change.revision(), value));
        } catch (IOException e) {
            log.event(
                    "store.change_ignored",
                    line -> line.put("kind", kind)
                            .put("name", change.name())
                            .put("reason", String.valueOf(e.getMessage())));
            return Optional.empty();
        }
    }

    private void succeeded() {
        retries.succeeded();
        if (!available) {
            available = true;
            log.event(
                    "dependency.regained",
                    line -> line.put("dependency", "store").put("kind", kind));
        }
    }

    private void failed(Throwable failure) {
        if (available) {
            available = false;
            log.event(
                    "dependency.lost",
                    line -> line.put("dependency", "store")
                            .put("kind", kind)
                            .put("reason", String.valueOf(cause(failure).getMessage())));
        }
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
