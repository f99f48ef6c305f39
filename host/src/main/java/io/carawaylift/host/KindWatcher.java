package io.carawaylift.host;

import io.carawaylift.platform.store.ObjectStore;
import io.carawaylift.platform.store.StoreChanges;
import io.carawaylift.platform.store.StoreException;
import io.carawaylift.platform.store.StoreItem;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;

/**
 * Follows the objects of one kind in the store: lists them, then watches for changes, and lists them again when the store no
 * longer has the history. Used on the event loop only.
 */
final class KindWatcher {
    /** Waits of a watch; each costs a call, and a lost connection is noticed earlier by the kernel's probes. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(20);

    /** Pause before the next watch after changes, so that changes that come together cost one call. */
    private static final long COALESCE_MILLIS = 150;

    private final String kind;
    private final ObjectStore store;
    private final HostLoop loop;
    private final EventLog log;
    private final Listener listener;
    private final StoreRetries retries;
    private final Map<String, Long> revisions = new HashMap<>();
    private long revision;
    private boolean available = true;
    private boolean stopped;

    /** Receives objects on the event loop. */
    interface Listener {
        /** An object is new or has a newer value. */
        void changed(StoreItem item);

        /** An object is gone; {@code storeWasAway} if it may have expired only because the store was away. */
        void deleted(String name, boolean storeWasAway);

        /** All objects of the kind are known as of now. */
        void synchronizedWithStore();
    }

    KindWatcher(String kind, ObjectStore store, StoreRetries retries, HostLoop loop, EventLog log, Listener listener) {
        this.kind = kind;
        this.store = store;
        this.retries = retries;
        this.loop = loop;
        this.log = log;
        this.listener = listener;
    }

    /** Starts to follow the kind. */
    void start() {
        list();
    }

    /** Ends after the call that is in flight. */
    void stop() {
        stopped = true;
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
                retries.retryLater(this::list);
                return;
            }
            succeeded();
            // Changes made between two pages are watched for again, so that none on an earlier page is missed.
            long from = after.isEmpty() ? page.revision() : firstRevision;
            items.addAll(page.items());
            if (page.more() && !page.items().isEmpty()) {
                list(items.get(items.size() - 1).name(), from, items);
            } else {
                listed(items, from);
            }
        });
    }

    private void listed(List<StoreItem> items, long from) {
        boolean first = revision == 0;
        Set<String> gone = new HashSet<>(revisions.keySet());
        for (StoreItem item : items) {
            gone.remove(item.name());
            take(item);
        }
        for (String name : gone) {
            revisions.remove(name);
            listener.deleted(name, true);
        }
        revision = from;
        if (first) {
            log.event(
                    "store.listed",
                    line -> line.put("kind", kind).put("objects", items.size()).put("revision", revision));
        }
        listener.synchronizedWithStore();
        watch();
    }

    private void watch() {
        if (stopped) {
            return;
        }
        loop.handle(store.watch(kind, revision, WATCH_WAIT), (changes, failure) -> {
            if (failure == null) {
                boolean wasAway = !available;
                succeeded();
                changed(changes, wasAway);
            } else if (cause(failure) instanceof StoreException refused && refused.historyGone()) {
                log.event("store.history_gone", line -> line.put("kind", kind).put("revision", revision));
                list();
            } else {
                failed(failure);
                retries.retryLater(this::watch);
            }
        });
    }

    private void changed(StoreChanges changes, boolean storeWasAway) {
        for (StoreChanges.Change change : changes.changes()) {
            if (change.deleted()) {
                revisions.remove(change.item().name());
                listener.deleted(change.item().name(), storeWasAway);
            } else {
                take(change.item());
            }
        }
        revision = Math.max(revision, changes.revision());
        if (changes.changes().isEmpty()) {
            watch();
        } else {
            loop.after(COALESCE_MILLIS, this::watch);
        }
    }

    private void take(StoreItem item) {
        Long known = revisions.get(item.name());
        if (known == null || item.revision() > known) {
            revisions.put(item.name(), item.revision());
            listener.changed(item);
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
