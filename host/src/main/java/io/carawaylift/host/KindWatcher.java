package io.carawaylift.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.decisions.customer.ClockReading;
import io.carawaylift.decisions.replica.ObjectTable;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.peer.Message.ObjectChange;
import io.carawaylift.peer.Message.ObjectPosition;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.StoreChanges;
import io.carawaylift.platform.store.StoreException;
import io.carawaylift.platform.store.StoreItem;
import io.carawaylift.platform.store.StoreKinds;
import io.carawaylift.platform.store.StorePage;
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
 * Follows the objects of one kind in the store: lists them, then watches for changes, and lists them again when the
 * store no longer has the history. While another host of the region confirms that it is up to date and both have the
 * same objects, changes come from that host and no call is made to the store. Used on the event loop only.
 */
final class KindWatcher {
    /**
     * Timeout of a watch. A change whose response is lost is known after this time and that of a call, well within six
     * seconds. A watch may also soon be unnecessary, because another host confirms.
     */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(3);

    /**
     * The same for the other hosts, once they found each other. Long, because each watch costs a call, and hosts that
     * are not listed yet report to those that are.
     */
    private static final Duration HOSTS_WATCH_TIMEOUT = Duration.ofSeconds(20);

    /** Timeout of a watch that only brings what a list lacked, or shows whether the store responds again. */
    private static final Duration IMMEDIATE_WATCH_TIMEOUT = Duration.ofMillis(1);

    /** Timeout of a watch whose responses show this host and others that the store is reachable. */
    private static final Duration CONFIRMING_WATCH_TIMEOUT = Duration.ofSeconds(1);

    /** Delay before the next watch after a change, so that changes close together cost one call. */
    private static final long COALESCE_MILLIS = 300;

    /** The same for the other hosts, all of which register when a fleet starts; nothing waits for their entries. */
    private static final long COALESCE_HOSTS_MILLIS = 1500;

    /**
     * Age after which a confirmation expires and the host watches the store itself: one confirming watch plus some
     * delay. A change is thus known well within the shortest time that the platform allows after accepting it, about
     * two seconds.
     */
    private static final long CONFIRMATION_LIFETIME_NANOS = 1_500_000_000L;

    /** Time after the start in which the hosts of a region find each other. */
    private static final long DISCOVERY_NANOS = 8_000_000_000L;

    /** Delay beyond the timeout of a watch after which its response no longer shows the current state of the store. */
    private static final long MAX_RESPONSE_DELAY_NANOS = 600_000_000L;

    /** Time after the store is reachable again in which live writers renew entries that expired meanwhile. */
    private static final long ENTRY_RENEWAL_MILLIS = 2000;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Stands for an unknown revision of a page; lower than any revision. */
    private static final long NO_REVISION = 0;

    private static final RecordBytes NO_VALUE = RecordBytes.of("");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String kind;
    private final ObjectStoreClient store;
    private final HostLoop loop;
    private final EventLog log;
    private final Listener listener;
    private final StoreRetries retries;
    private final StoreRelay relay;
    private final ObjectStoreClient.ListMode firstList;
    private final CallSequence calls;
    private final ObjectTable<StoreItem> table = new ObjectTable<>();
    private long startedNanos;
    private long revision;
    private long confirmedNanos;
    private boolean everConfirmed;
    private boolean fullyLoaded;
    private boolean storeAvailable = true;
    private boolean followsHost;
    private boolean renewed;
    private long currentNanos;
    private ClockReading listStarted = ClockReading.now();

    /** Receives the objects of the kind on the event loop. */
    interface Listener {
        /** Called when an object is new or has a newer value. */
        void changed(StoreItem item);

        /**
         * Called when an object was deleted or expired.
         *
         * @param graceMillis time in which it may still be renewed, because it may have expired while the store was
         * unreachable
         */
        void deleted(String name, long graceMillis);

        /** Called when all objects of the kind are known; may be called more than once. */
        void synchronizedWithStore();

        /** Called when a call to the store showed that the known objects were those of the store at a time. */
        default void proven(ClockReading at) {}

        /** Returns the longest wait of a watch after which the proof by its response is still in time. */
        default Duration maxWatchWait() {
            return Duration.ofDays(1);
        }
    }

    /**
     * Creates a watcher.
     *
     * @param firstList how the objects are listed at the start; a list that may be old is cheaper, and the watch that
     *     follows it brings what it lacks
     */
    KindWatcher(
            String kind,
            ObjectStoreClient.ListMode firstList,
            ObjectStoreClient store,
            StoreRetries retries,
            StoreRelay relay,
            HostLoop loop,
            EventLog log,
            Listener listener) {
        this.kind = kind;
        this.firstList = firstList;
        this.store = store;
        this.retries = retries;
        this.relay = relay;
        this.loop = loop;
        this.log = log;
        this.listener = listener;
        this.calls = new CallSequence(loop, retries, this::nextCall);
        retries.onRecovery(this::renewCall);
        relay.add(this);
    }

    String kind() {
        return kind;
    }

    void start() {
        startedNanos = System.nanoTime();
        currentNanos = startedNanos;
        list(firstList, "", Long.MAX_VALUE, new ArrayList<>());
    }

    /** Ends the calls for the kind; changes from other hosts are still applied. */
    void stop() {
        calls.stop();
    }

    /** Returns whether all objects of the kind are known. */
    boolean isFullyLoaded() {
        return fullyLoaded;
    }

    /** Returns whether the last call to the store succeeded. */
    boolean isAvailable() {
        return storeAvailable;
    }

    /** Returns whether the store has confirmed all objects since it was last unreachable. */
    boolean isCurrent() {
        return fullyLoaded && storeAvailable && !renewed;
    }

    /** Returns the time in seconds since the store, or a host that follows it, last confirmed the known objects. */
    double ageSeconds() {
        return (System.nanoTime() - currentNanos) / NANOS_PER_SECOND;
    }

    /** Returns the time in seconds since the call in flight was sent, 0 if there is none. */
    double callAgeSeconds() {
        return calls.callAgeSeconds();
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Returns the known revision and a digest of the objects, for comparison with another host. */
    ObjectPosition position() {
        return new ObjectPosition(kind, revision, table.digest());
    }

    /** Returns all known objects. */
    List<ObjectChange> objects() {
        List<ObjectChange> objects = new ArrayList<>();
        table.all().forEach(version -> objects.add(toChange(version.value())));
        return objects;
    }

    private void list() {
        list(ObjectStoreClient.ListMode.LATEST, "", Long.MAX_VALUE, new ArrayList<>());
    }

    private void list(ObjectStoreClient.ListMode mode, String after, long earlierRevision, List<StoreItem> items) {
        if (after.isEmpty()) {
            listStarted = ClockReading.now();
        }
        calls.await(store.list(kind, after, mode), (page, failure) -> {
            if (failure != null) {
                failed(failure);
                relay.requestObjects(kind);
                return;
            }
            succeeded();
            // The watch starts at the revision of the oldest page, so that changes made between two pages are not
            // missed.
            long from = Math.min(earlierRevision, revisionOf(page, mode));
            items.addAll(page.items());
            if (from == NO_REVISION) {
                list();
            } else if (page.hasNextPage() && !page.items().isEmpty()) {
                list(mode, items.get(items.size() - 1).name(), from, items);
            } else {
                applyList(mode, items, from);
            }
        });
    }

    /**
     * Returns a revision that a page is not older than. A page that may be old states the current revision of the
     * store, so only its objects show how old it may be.
     */
    private static long revisionOf(StorePage page, ObjectStoreClient.ListMode mode) {
        if (mode == ObjectStoreClient.ListMode.LATEST) {
            return page.revision();
        }
        return page.items().stream().mapToLong(StoreItem::revision).max().orElse(NO_REVISION);
    }

    private void applyList(ObjectStoreClient.ListMode mode, List<StoreItem> items, long from) {
        List<ObjectChange> changes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (StoreItem item : items) {
            names.add(item.name());
            put(item, changes);
        }
        long graceMillis = graceMillis();
        for (ObjectTable.Version<StoreItem> missing : table.without(names)) {
            // Keeps objects that another host saw created after this list was made.
            if (missing.revision() <= from) {
                delete(missing.name(), missing.revision(), graceMillis, changes);
            }
        }
        revision = Math.max(revision, from);
        relay.forwardChanges(kind, changes);
        if (mode == ObjectStoreClient.ListMode.MAY_BE_OLD && !fullyLoaded) {
            // What left since then must not be used; the watch tells.
            watch();
            return;
        }
        loaded("store", items.size());
        if (mode == ObjectStoreClient.ListMode.LATEST) {
            listener.proven(listStarted);
        }
        relay.sendPositions();
        continueFollowing();
    }

    private void loaded(String source, int objects) {
        if (!fullyLoaded) {
            log.event(
                    "store.listed",
                    line -> line.put("kind", kind)
                            .put("source", source)
                            .put("objects", objects)
                            .put("revision", revision));
        }
        fullyLoaded = true;
        listener.synchronizedWithStore();
    }

    private void nextCall() {
        if (fullyLoaded) {
            continueFollowing();
        } else {
            list();
        }
    }

    /** Replaces a call that was sent before the store was reachable again, since it may never get a response. */
    private void renewCall(long reachableNanos) {
        if (calls.isWaitingSince(reachableNanos)) {
            log.event("store.call_renewed", line -> line.put("kind", kind).put("callAgeMs", calls.millisSinceSent()));
            renewed = true;
            calls.resume();
        }
    }

    private void continueFollowing() {
        long remainingNanos = CONFIRMATION_LIFETIME_NANOS - (System.nanoTime() - confirmedNanos);
        boolean confirmed = everConfirmed && remainingNanos > 0 && !relay.isRelay();
        setFollowsHost(confirmed);
        if (confirmed) {
            calls.pause(TimeUnit.NANOSECONDS.toMillis(remainingNanos) + 1);
        } else {
            watch();
        }
    }

    private void setFollowsHost(boolean newValue) {
        if (followsHost != newValue) {
            followsHost = newValue;
            log.event(
                    "store.source",
                    line -> line.put("kind", kind)
                            .put("source", newValue ? "host" : "store")
                            .put("revision", revision));
        }
    }

    private void watch() {
        Duration limit = listener.maxWatchWait();
        Duration wait = watchTimeout().compareTo(limit) < 0 ? watchTimeout() : limit;
        ClockReading sent = ClockReading.now();
        long sentNanos = sent.monotonicNanos();
        calls.await(store.watch(kind, revision, wait), (changes, failure) -> {
            if (failure == null) {
                long graceMillis = storeAvailable && !renewed ? 0 : graceMillis();
                succeeded();
                applyWatchResult(changes, graceMillis);
                if (!fullyLoaded) {
                    loaded("store", table.all().size());
                }
                listener.proven(provenTime(sent, wait, changes.changes().isEmpty()));
                continueAfter(changes);
                if (System.nanoTime() - sentNanos < wait.toNanos() + MAX_RESPONSE_DELAY_NANOS) {
                    relay.sendPositions();
                }
            } else if (cause(failure) instanceof StoreException refused && refused.historyExpired()) {
                log.event("store.history_gone", line -> line.put("kind", kind).put("revision", revision));
                list();
            } else {
                failed(failure);
            }
        });
    }

    /**
     * Returns the time at which the objects known after a watch were those of the store: an empty response shows that
     * there was no change until the end of the wait, any other shows only the changes known when the call was sent.
     */
    private static ClockReading provenTime(ClockReading sent, Duration wait, boolean empty) {
        boolean waited = System.nanoTime() - sent.monotonicNanos() >= wait.toNanos();
        return empty && waited ? sent.plusMillis(wait.toMillis()) : sent;
    }

    private Duration watchTimeout() {
        if (!fullyLoaded || !storeAvailable) {
            return IMMEDIATE_WATCH_TIMEOUT;
        }
        if (relay.isConfirmingKind(kind)) {
            return CONFIRMING_WATCH_TIMEOUT;
        }
        boolean starting = System.nanoTime() - startedNanos < DISCOVERY_NANOS;
        boolean ofKnownHosts = kind.equals(StoreKinds.HOSTS) && !starting && !relay.isFollower();
        return ofKnownHosts ? HOSTS_WATCH_TIMEOUT : WATCH_TIMEOUT;
    }

    private void applyWatchResult(StoreChanges changes, long graceMillis) {
        List<ObjectChange> appliedChanges = new ArrayList<>();
        for (StoreChanges.ChangedItem change : changes.changes()) {
            if (change.deleted()) {
                delete(change.item().name(), change.item().revision(), graceMillis, appliedChanges);
            } else {
                put(change.item(), appliedChanges);
            }
        }
        revision = Math.max(revision, changes.revision());
        relay.forwardChanges(kind, appliedChanges);
    }

    private void continueAfter(StoreChanges changes) {
        if (changes.changes().isEmpty()) {
            continueFollowing();
        } else {
            boolean ofHosts = kind.equals(StoreKinds.HOSTS);
            calls.pause(ofHosts ? COALESCE_HOSTS_MILLIS : COALESCE_MILLIS);
        }
    }

    private void put(StoreItem item, List<ObjectChange> appliedChanges) {
        if (table.put(item.name(), item.revision(), item)) {
            appliedChanges.add(toChange(item));
            try {
                listener.changed(item);
            } catch (RuntimeException e) {
                // One object that its reader cannot take must not end the reading of the others.
                loop.logFault(e);
            }
        }
    }

    private void delete(String name, long deletedRevision, long graceMillis, List<ObjectChange> appliedChanges) {
        if (table.delete(name, deletedRevision)) {
            appliedChanges.add(new ObjectChange(name, deletedRevision, true, graceMillis, NO_VALUE));
            listener.deleted(name, graceMillis);
        }
    }

    private long graceMillis() {
        return Math.max(0, ENTRY_RENEWAL_MILLIS - retries.millisSinceReachable());
    }

    /** Applies changes that another host received from the store. */
    void applyChanges(List<ObjectChange> changes) {
        for (ObjectChange change : changes) {
            if (change.deleted()) {
                delete(change.name(), change.revision(), change.graceMillis(), new ArrayList<>());
            } else {
                toItem(change).ifPresent(item -> put(item, new ArrayList<>()));
            }
        }
    }

    /**
     * Compares with the position of another host, after its changes were applied. Does nothing if the digests differ.
     *
     * @param current whether the store has just confirmed the position to that host
     */
    void applyPosition(ObjectPosition position, boolean current) {
        if (position.digest() != table.digest()) {
            return;
        }
        if (!fullyLoaded) {
            revision = Math.max(revision, position.revision());
            if (!current && storeAvailable) {
                // What left since that host knew must not be used; the list that is under way tells.
                return;
            }
            loaded("host", table.all().size());
        }
        if (!current) {
            return;
        }
        revision = Math.max(revision, position.revision());
        confirmedNanos = System.nanoTime();
        everConfirmed = true;
        succeeded();
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
        renewed = false;
        long ageMillis = millisSince(currentNanos);
        currentNanos = System.nanoTime();
        if (!storeAvailable) {
            storeAvailable = true;
            log.event(
                    "dependency.regained",
                    line -> line.put("dependency", "store").put("kind", kind).put("ageMs", ageMillis));
        }
    }

    private void failed(Throwable failure) {
        if (!(cause(failure) instanceof StoreException)) {
            retries.unanswered();
        }
        calls.retry();
        if (storeAvailable) {
            storeAvailable = false;
            log.event(
                    "dependency.lost",
                    line -> line.put("dependency", "store")
                            .put("kind", kind)
                            .put("callAgeMs", calls.millisSinceSent())
                            .put("reason", String.valueOf(cause(failure).getMessage())));
        }
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
