package io.carawaylift.host;

import io.carawaylift.decisions.currency.CallChain;
import io.carawaylift.decisions.currency.CurrencyTimes;
import io.carawaylift.decisions.currency.WatchSpacing;
import io.carawaylift.decisions.replica.StorePosition;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import io.carawaylift.peer.Message.ObjectChange;
import io.carawaylift.peer.Message.ObjectPosition;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Passes changes that one host of a region receives from the store on to the other hosts of the region, so that calls
 * to the store do not grow with the number of hosts. Changes are forwarded at once; a position with a digest shows the
 * others that they missed none. Used on the event loop only.
 */
final class StoreRelay {
    /** Max objects per message. With values of some kilobytes, a message stays well below the max frame size. */
    private static final int OBJECTS_PER_MESSAGE = 200;

    /** Divides the interval of the positions, which are sent less than one of these after they are due. */
    private static final long POSITION_CHECK_MILLIS = 50;

    private final Map<String, KindWatcher> watchers = new LinkedHashMap<>();
    private final CurrencyTimes times;
    private final WatchSpacing spacing;
    private Region region = new NoOtherHosts();
    private Optional<ConfigurationFreshness> freshness = Optional.empty();
    private boolean everResponded;
    private long respondedNanos;
    private long positionsSentNanos = System.nanoTime();

    StoreRelay(CurrencyTimes times) {
        this.times = times;
        this.spacing = new WatchSpacing(times);
    }

    /** Starts to send the positions of the current kinds periodically, without calls to the store. */
    void start(HostLoop loop) {
        loop.every(POSITION_CHECK_MILLIS, this::sendPositionsIfDue);
    }

    /** The other hosts of the region. */
    interface Region {
        /** Returns whether this host follows the store on behalf of the region. */
        boolean isRelay();

        /** Returns whether the region has other hosts. */
        boolean hasOtherHosts();

        /** Sends a message to the other hosts of the region that are connected to this one. */
        void send(Message message);

        /** Sends a message to the hosts of the region that this one reports to. */
        default void sendToRelays(Message message) {}

        /** Sends a message to one connected host, of any region; does nothing if there is none. */
        void sendToAny(Message message);
    }

    /** Sets what handles the messages about the age of the configuration. */
    void setFreshness(ConfigurationFreshness configuration) {
        freshness = Optional.of(configuration);
    }

    /** Sends a message to the hosts of the region that this one reports to. */
    void sendToRelays(Message message) {
        region.sendToRelays(message);
    }

    /** Reads a kind from the store now if its reader needs that although another host confirms it. */
    void readIfDue(String kind) {
        watchers.get(kind).readIfDue();
    }

    /** Returns the digest of the names and revisions of all objects of a kind. */
    long digest(String kind) {
        return watchers.get(kind).position().digest();
    }

    void setRegion(Region others) {
        region = others;
    }

    void add(KindWatcher watcher) {
        watchers.put(watcher.kind(), watcher);
    }

    /** Returns the watchers of all kinds. */
    Collection<KindWatcher> watchers() {
        return List.copyOf(watchers.values());
    }

    boolean isRelay() {
        return region.isRelay();
    }

    /** Returns whether another host of the region may follow the store for this one. */
    boolean isFollower() {
        return region.hasOtherHosts() && !region.isRelay();
    }

    /** Returns whether the region has other hosts. */
    boolean hasOtherHosts() {
        return region.hasOtherHosts();
    }

    CurrencyTimes times() {
        return times;
    }

    /** Returns the wait of a watch that the relay sends now, so that responses for different kinds are spread. */
    Duration watchWait(CallChain chain, long now) {
        List<CallChain> others = watchers.values().stream()
                .map(KindWatcher::chain)
                .filter(other -> other != chain)
                .toList();
        return spacing.waitOf(now, others);
    }

    /** Records that the store responded in time to a call for any kind. */
    void responded(long now) {
        everResponded = true;
        respondedNanos = now;
    }

    /** Reads all kinds again that were read before the store was restored. */
    void eraSeen(long era) {
        watchers.values().forEach(watcher -> watcher.eraSeen(era));
    }

    /** Returns whether the last call for each kind succeeded. */
    boolean reachesStore() {
        return watchers.values().stream()
                .allMatch(watcher -> watcher.availability().isAvailable());
    }

    /** Forwards changes that this host received from the store, if it is the relay. */
    void forwardChanges(String kind, StorePosition position, List<ObjectChange> changes) {
        if (changes.isEmpty() || !region.isRelay()) {
            return;
        }
        inMessages(kind, position, changes).forEach(region::send);
    }

    private void sendPositionsIfDue() {
        if (System.nanoTime() - positionsSentNanos >= times.positionInterval().toNanos()) {
            sendPositions();
        }
    }

    /**
     * Sends the positions of the kinds that this host holds current to the other hosts, if it is the relay and the
     * store responded to it recently. A kind of which a call is unanswered is left out, whatever others were answered.
     */
    void sendPositions() {
        long now = System.nanoTime();
        positionsSentNanos = now;
        long ageNanos = now - respondedNanos;
        boolean expired =
                !everResponded || ageNanos >= times.confirmationLifetime().toNanos();
        if (expired || !region.isRelay() || !region.hasOtherHosts()) {
            return;
        }
        List<ObjectPosition> positions = new ArrayList<>();
        for (KindWatcher watcher : watchers.values()) {
            if (watcher.isCurrent()) {
                positions.add(watcher.position());
            }
        }
        region.send(new Message.ObjectPositions(true, TimeUnit.NANOSECONDS.toMillis(ageNanos), positions));
    }

    /** Requests all objects of a kind from another host, because the store does not respond. */
    void requestObjects(String kind) {
        region.sendToAny(new Message.ObjectsRequest(kind));
    }

    /** Requests the objects that this host could not read from the store so far from a newly connected host. */
    void connectionOpened(Connection connection) {
        for (KindWatcher watcher : watchers.values()) {
            if (!watcher.isFullyLoaded() && !watcher.availability().isAvailable()) {
                connection.send(new Message.ObjectsRequest(watcher.kind()));
            }
            // A host that read the restored store only does not know them.
            List<ObjectChange> newerThanStore = watcher.objects().newerThanStore();
            inMessages(watcher.kind(), watcher.storePosition(), newerThanStore).forEach(connection::send);
        }
    }

    /** Handles a message of another host. */
    void messageReceived(Connection connection, Message message) {
        if (message instanceof Message.ObjectChanges changes) {
            KindWatcher watcher = watchers.get(changes.kind());
            if (watcher != null) {
                watcher.applyChanges(changes);
            }
        } else if (message instanceof Message.ObjectPositions positions) {
            for (ObjectPosition position : positions.positions()) {
                KindWatcher watcher = watchers.get(position.kind());
                if (watcher != null) {
                    watcher.applyPosition(position, positions.current(), Duration.ofMillis(positions.ageMillis()));
                }
            }
            freshness.ifPresent(ConfigurationFreshness::check);
        } else if (message instanceof Message.ObjectsRequest request) {
            KindWatcher watcher = watchers.get(request.kind());
            if (watcher != null && watcher.isFullyLoaded()) {
                inMessages(
                                request.kind(),
                                watcher.storePosition(),
                                watcher.objects().all())
                        .forEach(connection::send);
                connection.send(new Message.ObjectPositions(false, 0, List.of(watcher.position())));
            }
        } else {
            freshness.ifPresent(each -> each.messageReceived(connection, message));
        }
    }

    private static List<Message> inMessages(String kind, StorePosition position, List<ObjectChange> changes) {
        List<Message> messages = new ArrayList<>();
        for (int from = 0; from < changes.size(); from += OBJECTS_PER_MESSAGE) {
            int to = Math.min(changes.size(), from + OBJECTS_PER_MESSAGE);
            messages.add(
                    new Message.ObjectChanges(kind, position.era(), position.revision(), changes.subList(from, to)));
        }
        return messages;
    }

    /** Used until the other hosts are set. */
    private static final class NoOtherHosts implements Region {
        @Override
        public boolean isRelay() {
            return true;
        }

        @Override
        public boolean hasOtherHosts() {
            return false;
        }

        @Override
        public void send(Message message) {}

        @Override
        public void sendToAny(Message message) {}
    }
}
