package io.carawaylift.host;

import io.carawaylift.decisions.currency.CallChain;
import io.carawaylift.decisions.currency.CurrencyTimes;
import io.carawaylift.decisions.customer.ClockReading;
import io.carawaylift.decisions.replica.StorePosition;
import io.carawaylift.peer.Message.ObjectChange;
import io.carawaylift.peer.Message.ObjectChanges;
import io.carawaylift.peer.Message.ObjectPosition;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.ObjectStoreClient.ListMode;
import io.carawaylift.platform.store.StoreChanges;
import io.carawaylift.platform.store.StoreItem;
import java.io.IOException;
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
    private final KindSource source;
    private final KindObjects objects;
    private final KindProgress progress;
    private final KindWaits waits;
    private final KindAvailability availability;
    private final KindLister lister;
    private boolean fullyLoaded;
    private boolean listNeeded = true;
    private boolean replaced;
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
        this.source = new KindSource(kind, relay, listener, log);
        this.objects = new KindObjects(kind, loop, log, listener);
        this.progress = new KindProgress(listener);
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

    /** Returns whether the store responds to the calls for the kind. */
    KindAvailability availability() {
        return availability;
    }

    /** Returns whether all calls for the kind were answered in time, so that other hosts may rely on its objects. */
    boolean isCurrent() {
        return fullyLoaded && chain.isCurrent(System.nanoTime());
    }

    /** Returns the calls for the kind. */
    CallChain chain() {
        return chain;
    }

    /** Returns the position of the store up to which all changes are known. */
    StorePosition storePosition() {
        return progress.position();
    }

    /** Returns the milliseconds since the time that the last answered call proves, empty if no call was answered. */
    OptionalLong provenAgeMillis() {
        return chain.provenAgeMillis(System.nanoTime());
    }

    /** Returns the time in seconds since the call in flight was sent, 0 if there is none. */
    double callAgeSeconds() {
        return calls.callAgeSeconds();
    }

    /** Returns the known position and a digest of the objects, for comparison with another host. */
    ObjectPosition position() {
        return new ObjectPosition(kind, storePosition().era(), storePosition().revision(), objects.digest());
    }

    /** Returns the known objects. */
    KindObjects objects() {
        return objects;
    }

    /** Lists the objects again if the store was restored since they were read, unless another host does that. */
    void eraSeen(long era) {
        if (progress.isOlderThanEra(era) && !source.isHost()) {
            listNeeded = true;
            replaceCall();
        }
    }

    private void list(ListMode mode) {
        listStarted = ClockReading.now();
        lister.list(mode, fullyLoaded ? times.responseAllowance() : FIRST_LIST_ALLOWANCE);
    }

    /** Applies what the lister reads. */
    private final class ListListener implements KindLister.Listener {
        @Override
        public void listed(ListMode mode, List<StoreItem> items, StorePosition listed, long sentNanos) {
            if (progress.position().era() > listed.era()) {
                // A late response, or a copy that has not been restored yet.
                failed(new IOException("list of the earlier era " + listed.era()));
            } else {
                applyList(mode, items, listed, sentNanos);
            }
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

    private void applyList(ListMode mode, List<StoreItem> items, StorePosition from, long sentNanos) {
        List<ObjectChange> changes =
                objects.applyList(items, from, retries.remainingMillis(KindObjects.RENEWAL_MILLIS));
        relay.forwardChanges(kind, from, changes);
        progress.advance(from);
        if (mode == ListMode.MAY_BE_OLD && !fullyLoaded) {
            // What left since then must not be used; the watch tells.
            watch();
            return;
        }
        listNeeded = false;
        chain.answered(System.nanoTime(), sentNanos, Duration.ZERO);
        loaded("store", items.size());
        if (mode == ListMode.LATEST) {
            objects.proven(listStarted);
        }
        relay.responded(System.nanoTime());
        relay.sendPositions();
        relay.eraSeen(from.era());
        continueFollowing();
    }

    private void loaded(String source, int count) {
        if (!fullyLoaded) {
            log.event(
                    "store.listed",
                    line -> line.put("kind", kind)
                            .put("source", source)
                            .put("objects", count)
                            .put("revision", progress.position().revision()));
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
     * Reads at once what is not known yet up to a position, because another kind must not be acted on before. Does
     * nothing if another host follows the store for this one, since that host does it.
     */
    void catchUp(StorePosition wanted) {
        progress.aim(wanted);
        if (fullyLoaded
                && availability.isAvailable()
                && !source.isHost()
                && !listNeeded
                && wanted.isAfter(storePosition())) {
            replaceCall();
        }
    }

    private void continueFollowing() {
        long remainingNanos = source.decide(progress.position().revision());
        if (remainingNanos > 0) {
            calls.pause(TimeUnit.NANOSECONDS.toMillis(remainingNanos) + 1);
        } else {
            watch();
        }
    }

    /** Reads the store now if its reader needs that; does nothing if a call is under way. */
    void readIfDue() {
        if (source.isHost() && listener.isOwnProofDue()) {
            calls.resume();
        }
    }

    private void watch() {
        ClockReading sent = ClockReading.now();
        long sentNanos = sent.monotonicNanos();
        Duration wait = watchWait(sentNanos);
        StorePosition from = progress.position();
        StorePosition knownAfter = progress.target();
        chain.sent(sentNanos, wait);
        calls.await(
                store.watch(kind, from.revision(), wait), wait.plus(times.responseAllowance()), (changes, failure) -> {
                    if (failure == null && !progress.isContinued(from, changes.position())) {
                        watchAnsweredInOtherEra(changes.position().era());
                    } else if (failure == null) {
                        watchAnswered(changes, sent, wait, knownAfter);
                    } else if (KindAvailability.isHistoryExpired(failure)) {
                        availability.historyExpired(from.revision());
                        listAgain();
                    } else {
                        failed(failure);
                    }
                });
    }

    /** Drops changes that are counted from a revision of another era: some of this era may be missing. */
    private void watchAnsweredInOtherEra(long era) {
        if (storePosition().era() > era) {
            failed(new IOException("response of the earlier era " + era));
            return;
        }
        listAgain();
    }

    private void listAgain() {
        chain.unanswered();
        listNeeded = true;
        list(ListMode.LATEST);
    }

    private void watchAnswered(StoreChanges changes, ClockReading sent, Duration wait, StorePosition knownAfter) {
        long sentNanos = sent.monotonicNanos();
        long graceMillis = availability.isAvailable() && !replaced && !availability.isReadAgain()
                ? 0
                : retries.remainingMillis(KindObjects.RENEWAL_MILLIS);
        succeeded();
        List<ObjectChange> applied = objects.applyWatch(changes, graceMillis);
        relay.forwardChanges(kind, changes.position(), applied);
        // The store had reached the position to catch up with before this watch was sent.
        progress.advance(StorePosition.max(knownAfter, changes.position()));
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
        objects.proven(waited ? sent.plusMillis(wait.toMillis()) : sent);
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
        StorePosition known = new StorePosition(position.era(), position.revision());
        if (position.digest() != objects.digest() || progress.position().era() > known.era()) {
            return;
        }
        if (!fullyLoaded) {
            if (!current && availability.isAvailable()) {
                // What left since that host knew must not be used; the list that is under way tells.
                progress.resumeFrom(known);
                return;
            }
            progress.advance(known);
            listNeeded = false;
            loaded("host", objects.size());
        }
        if (!current || age.compareTo(times.confirmationLifetime()) >= 0) {
            return;
        }
        progress.advance(known);
        listNeeded = false;
        source.confirmation().received(System.nanoTime(), age);
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
