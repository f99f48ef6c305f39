package io.carawaylift.host;

import io.carawaylift.decisions.currency.CallChain;
import io.carawaylift.decisions.currency.Confirmation;
import io.carawaylift.decisions.currency.CurrencyTimes;
import io.carawaylift.decisions.customer.ClockReading;
import io.carawaylift.peer.Message.ObjectChange;
import io.carawaylift.peer.Message.ObjectChanges;
import io.carawaylift.peer.Message.ObjectPosition;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.ObjectStoreClient.ListMode;
import io.carawaylift.platform.store.StoreChanges;
import io.carawaylift.platform.store.StoreItem;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Follows the objects of one kind in the store: lists them, then watches for changes, and lists them again when the
 * store no longer has the history. While another host of the region confirms that it is up to date and both have the
 * same objects, changes come from that host and no call is made to the store. Used on the event loop only.
 */
final class KindWatcher {
    /** Response allowance of the first lists, which are long and are decoded by code that has just started. */
    private static final Duration FIRST_LIST_ALLOWANCE = Duration.ofMillis(1500);

    /** Delay beyond the timeout of a watch after which its response no longer shows the current state of the store. */
    private static final long MAX_RESPONSE_DELAY_NANOS = 600_000_000L;

    /** Time after the store is reachable again in which live writers renew entries that expired meanwhile. */
    private static final long ENTRY_RENEWAL_MILLIS = 2000;

    private final String kind;
    private final ObjectStoreClient store;
    private final EventLog log;
    private final KindListener listener;
    private final StoreRetries retries;
    private final StoreRelay relay;
    private final ListMode firstList;
    private final CallSequence calls;
    private final CurrencyTimes times;
    private final CallChain chain;
    private final Confirmation confirmation;
    private final KindObjects objects;
    private final KindWaits waits;
    private final KindAvailability availability;
    private final KindLister lister;
    private long revision;
    private boolean fullyLoaded;
    private boolean followsHost;
    private boolean listNeeded = true;
    private boolean replaced;
    private long catchUpRevision;
    private ClockReading listStarted = ClockReading.now();

    /**
     * Creates a watcher.
     *
     * @param firstList how the objects are listed at the start; a list that may be old is cheaper, and the watch that
     *     follows it brings what it lacks
     */
    KindWatcher(
            String kind,
            ListMode firstList,
            ObjectStoreClient store,
            StoreRetries retries,
            StoreRelay relay,
            HostLoop loop,
            EventLog log,
            KindListener listener) {
        this.kind = kind;
        this.firstList = firstList;
        this.store = store;
        this.retries = retries;
        this.relay = relay;
        this.log = log;
        this.listener = listener;
        this.times = relay.times();
        this.chain = new CallChain(times.responseAllowance());
        this.confirmation = new Confirmation(times.confirmationLifetime());
        this.objects = new KindObjects(kind, loop, log, listener);
        this.calls = new CallSequence(loop, retries, this::nextCall);
        this.waits = new KindWaits(kind, relay);
        this.availability = new KindAvailability(kind, log);
        this.lister = new KindLister(kind, store, calls, chain, new ListListener());
        retries.onRecovery(this::renewCall);
        relay.add(this);
    }

    String kind() {
        return kind;
    }

    void start() {
        list(firstList);
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
        return availability.isAvailable();
    }

    /** Returns whether all calls for the kind were answered in time, so that other hosts may rely on its objects. */
    boolean isCurrent() {
        return fullyLoaded && chain.isCurrent(System.nanoTime());
    }

    /** Returns the calls for the kind. */
    CallChain chain() {
        return chain;
    }

    /** Returns the number of calls whose responses did not arrive in time. */
    long lostResponses() {
        return availability.lostResponses();
    }

    /** Returns the revision of the store up to which all changes are known. */
    long revision() {
        return revision;
    }

    /** Returns the milliseconds since the time that the last answered call proves, empty if no call was answered. */
    OptionalLong provenAgeMillis() {
        long now = System.nanoTime();
        return chain.provenNanos().stream()
                .map(nanos -> TimeUnit.NANOSECONDS.toMillis(now - nanos))
                .findFirst();
    }

    /** Returns the time in seconds since the store, or a host that follows it, last confirmed the known objects. */
    double ageSeconds() {
        return availability.ageSeconds();
    }

    /** Returns the time in seconds since the call in flight was sent, 0 if there is none. */
    double callAgeSeconds() {
        return calls.callAgeSeconds();
    }

    /** Returns the known revision and a digest of the objects, for comparison with another host. */
    ObjectPosition position() {
        return new ObjectPosition(kind, revision, objects.digest());
    }

    /** Returns all known objects. */
    List<ObjectChange> objects() {
        return objects.all();
    }

    private void list(ListMode mode) {
        listStarted = ClockReading.now();
        lister.list(mode, fullyLoaded ? times.responseAllowance() : FIRST_LIST_ALLOWANCE);
    }

    /** Applies what the lister reads. */
    private final class ListListener implements KindLister.Listener {
        @Override
        public void listed(ListMode mode, List<StoreItem> items, long listRevision, long sentNanos) {
            applyList(mode, items, listRevision, sentNanos);
        }

        @Override
        public void pageRead() {
            succeeded();
        }

        @Override
        public void failed(Throwable failure) {
            KindWatcher.this.failed(failure);
            relay.requestObjects(kind);
        }
    }

    private void applyList(ListMode mode, List<StoreItem> items, long from, long sentNanos) {
        List<ObjectChange> changes = objects.applyList(items, from, graceMillis());
        relay.forwardChanges(kind, from, changes);
        advance(from);
        if (mode == ListMode.MAY_BE_OLD && !fullyLoaded) {
            // What left since then must not be used; the watch tells.
            watch();
            return;
        }
        listNeeded = false;
        chain.answered(System.nanoTime(), sentNanos, Duration.ZERO);
        loaded("store", items.size());
        if (mode == ListMode.LATEST) {
            listener.proven(listStarted);
        }
        relay.responded(System.nanoTime());
        relay.sendPositions();
        continueFollowing();
    }

    private void advance(long knownRevision) {
        if (knownRevision > revision) {
            revision = knownRevision;
            listener.caughtUp(revision);
        }
    }

    private void loaded(String source, int count) {
        if (!fullyLoaded) {
            log.event(
                    "store.listed",
                    line -> line.put("kind", kind)
                            .put("source", source)
                            .put("objects", count)
                            .put("revision", revision));
        }
        fullyLoaded = true;
        listener.synchronizedWithStore();
    }

    private void nextCall() {
        if (fullyLoaded && !listNeeded) {
            continueFollowing();
        } else {
            list(ListMode.LATEST);
        }
    }

    /** Replaces a call that was sent before the store was reachable again, since it may never get a response. */
    private void renewCall(long reachableNanos) {
        if (calls.isWaitingSince(reachableNanos)) {
            log.event("store.call_renewed", line -> line.put("kind", kind).put("callAgeMs", calls.millisSinceSent()));
            replaceCall();
        }
    }

    private void replaceCall() {
        chain.unanswered();
        replaced = true;
        calls.resume();
    }

    /**
     * Reads at once what is not known yet up to a revision, because another kind must not be acted on before. Does
     * nothing if another host follows the store for this one, since that host does it.
     */
    void catchUp(long knownRevision) {
        catchUpRevision = Math.max(catchUpRevision, knownRevision);
        if (fullyLoaded && availability.isAvailable() && !followsHost && !listNeeded && revision < knownRevision) {
            replaceCall();
        }
    }

    private void continueFollowing() {
        long remainingNanos = confirmation.remainingNanos(System.nanoTime());
        boolean confirmed = remainingNanos > 0 && !relay.isRelay() && !listener.isOwnProofDue();
        setFollowsHost(confirmed);
        if (confirmed) {
            calls.pause(TimeUnit.NANOSECONDS.toMillis(remainingNanos) + 1);
        } else {
            watch();
        }
    }

    /** Reads the store now if its reader needs that; does nothing if a call is under way. */
    void readIfDue() {
        if (followsHost && listener.isOwnProofDue()) {
            calls.resume();
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
        ClockReading sent = ClockReading.now();
        long sentNanos = sent.monotonicNanos();
        Duration wait = watchWait(sentNanos);
        long knownAfter = catchUpRevision;
        chain.sent(sentNanos, wait);
        calls.await(store.watch(kind, revision, wait), wait.plus(times.responseAllowance()), (changes, failure) -> {
            if (failure == null) {
                watchAnswered(changes, sent, wait, knownAfter);
            } else if (KindAvailability.isHistoryExpired(failure)) {
                log.event("store.history_gone", line -> line.put("kind", kind).put("revision", revision));
                chain.unanswered();
                listNeeded = true;
                list(ListMode.LATEST);
            } else {
                failed(failure);
            }
        });
    }

    private void watchAnswered(StoreChanges changes, ClockReading sent, Duration wait, long knownAfter) {
        long sentNanos = sent.monotonicNanos();
        long graceMillis = availability.isAvailable() && !replaced && !availability.isReadAgain() ? 0 : graceMillis();
        succeeded();
        List<ObjectChange> applied = objects.applyWatch(changes, graceMillis);
        relay.forwardChanges(kind, changes.revision(), applied);
        // The store had reached the revision to catch up with before this watch was sent.
        advance(Math.max(knownAfter, changes.revision()));
        long now = System.nanoTime();
        boolean empty = changes.changes().isEmpty();
        Duration pause = empty ? Duration.ZERO : waits.afterChange();
        chain.answered(now, empty ? sentNanos + wait.toNanos() : sentNanos, pause);
        if (!fullyLoaded) {
            loaded("store", objects.size());
        }
        listNeeded = false;
        // An empty response that came before the end of the wait shows nothing about that end.
        boolean waited = empty && now - sentNanos >= wait.toNanos();
        listener.proven(waited ? sent.plusMillis(wait.toMillis()) : sent);
        if (now - sentNanos < wait.toNanos() + MAX_RESPONSE_DELAY_NANOS) {
            relay.responded(now);
        }
        relay.sendPositions();
        if (empty) {
            continueFollowing();
        } else {
            calls.pause(pause.toMillis());
        }
    }

    private Duration watchWait(long now) {
        boolean atOnce = !fullyLoaded || !availability.isAvailable() || availability.isReadAgain() || replaced;
        Duration wait = atOnce ? KindWaits.IMMEDIATE_WATCH : waits.watch(chain, now);
        return wait.compareTo(listener.maxWatchWait()) < 0 ? wait : listener.maxWatchWait();
    }

    private long graceMillis() {
        return Math.max(0, ENTRY_RENEWAL_MILLIS - retries.millisSinceReachable());
    }

    /** Applies changes that another host received from the store. */
    void applyChanges(ObjectChanges changes) {
        objects.applyForwarded(changes);
    }

    /**
     * Compares with the position of another host, after its changes were applied. Does nothing if the digests differ.
     *
     * @param current whether that host holds the kind current
     * @param age time since the store last responded to that host
     */
    void applyPosition(ObjectPosition position, boolean current, Duration age) {
        if (position.digest() != objects.digest()) {
            return;
        }
        if (!fullyLoaded) {
            if (!current && availability.isAvailable()) {
                // What left since that host knew must not be used; the list that is under way tells.
                revision = Math.max(revision, position.revision());
                return;
            }
            advance(position.revision());
            listNeeded = false;
            loaded("host", objects.size());
        }
        if (!current || age.compareTo(times.confirmationLifetime()) >= 0) {
            return;
        }
        advance(position.revision());
        listNeeded = false;
        confirmation.received(System.nanoTime(), age);
        succeeded();
    }

    private void succeeded() {
        retries.succeeded();
        replaced = false;
        availability.succeeded();
    }

    private void failed(Throwable failure) {
        chain.unanswered();
        if (!KindAvailability.isRefusal(failure)) {
            retries.unanswered();
        }
        if (availability.failed(failure, calls.millisSinceSent())) {
            calls.resume();
        } else {
            calls.retry();
        }
    }
}
