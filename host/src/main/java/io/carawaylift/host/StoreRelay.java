package io.carawaylift.host;

import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import io.carawaylift.peer.Message.ObjectChange;
import io.carawaylift.peer.Message.ObjectPosition;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Passes what one host of a region learns from the store on to the others of the region, so that the calls to the store do not
 * grow with the hosts. Every change is passed on at once; a position with a digest tells the others that they missed none.
 * Used on the event loop only.
 */
final class StoreRelay {
    /** Objects in one message; with values of some kilobytes it stays well below the longest frame. */
    private static final int OBJECTS_PER_MESSAGE = 200;

    private final Map<String, KindWatcher> watchers = new LinkedHashMap<>();
    private final String confirmingKind;
    private Region region = new NoOtherHosts();

    /** Creates a relay; the watches of {@code confirmingKind} are frequent enough to show that the store is reached. */
    StoreRelay(String confirmingKind) {
        this.confirmingKind = confirmingKind;
    }

    /** The other hosts of the region. */
    interface Region {
        /** Returns whether this host is the one that follows the store for the region. */
        boolean isRelay();

        /** Returns whether there are other hosts. */
        boolean hasOtherHosts();

        /** Sends a message to all others. */
        void send(Message message);

        /** Sends a message to one host, of any region, that knows objects. */
        void sendToAny(Message message);
    }

    /** Sets the other hosts. */
    void setRegion(Region others) {
        region = others;
    }

    void add(KindWatcher watcher) {
        watchers.put(watcher.kind(), watcher);
    }

    boolean isRelay() {
        return region.isRelay();
    }

    /** Returns whether another host of the region may follow the store for this one. */
    boolean isFollower() {
        return region.hasOtherHosts() && !region.isRelay();
    }

    /** Returns whether the watches of a kind are answered often, to show the followers that the store is reached. */
    boolean isConfirmingKind(String kind) {
        return kind.equals(confirmingKind) && region.hasOtherHosts() && region.isRelay();
    }

    /** Returns whether the last calls for all kinds were answered. */
    boolean reachesStore() {
        return watchers.values().stream().allMatch(KindWatcher::isAvailable);
    }

    /** Passes changes on that this host learned from the store. */
    void forwardChanges(String kind, List<ObjectChange> changes) {
        if (changes.isEmpty() || !region.isRelay()) {
            return;
        }
        inMessages(kind, changes).forEach(region::send);
    }

    /** Tells the others what this host knows, since the store has just answered. */
    void sendPositions() {
        if (!region.isRelay() || !region.hasOtherHosts()) {
            return;
        }
        List<ObjectPosition> positions = new ArrayList<>();
        for (KindWatcher watcher : watchers.values()) {
            if (watcher.isFullyLoaded() && watcher.isAvailable()) {
                positions.add(watcher.position());
            }
        }
        region.send(new Message.ObjectPositions(true, positions));
    }

    /** Asks another host for all objects of a kind, because the store does not answer. */
    void requestObjects(String kind) {
        region.sendToAny(new Message.ObjectsRequest(kind));
    }

    /** Asks a host for what this one could not learn from the store so far. */
    void connectionOpened(Connection connection) {
        for (KindWatcher watcher : watchers.values()) {
            if (!watcher.isFullyLoaded() && !watcher.isAvailable()) {
                connection.send(new Message.ObjectsRequest(watcher.kind()));
            }
        }
    }

    /** Takes a message of another host. */
    void messageReceived(Connection connection, Message message) {
        if (message instanceof Message.ObjectChanges changes) {
            KindWatcher watcher = watchers.get(changes.kind());
            if (watcher != null) {
                watcher.applyChanges(changes.changes());
            }
        } else if (message instanceof Message.ObjectPositions positions) {
            for (ObjectPosition position : positions.positions()) {
                KindWatcher watcher = watchers.get(position.kind());
                if (watcher != null) {
                    watcher.applyPosition(position, positions.current());
                }
            }
        } else if (message instanceof Message.ObjectsRequest request) {
            KindWatcher watcher = watchers.get(request.kind());
            if (watcher != null && watcher.isFullyLoaded()) {
                inMessages(request.kind(), watcher.objects()).forEach(connection::send);
                connection.send(new Message.ObjectPositions(false, List.of(watcher.position())));
            }
        }
    }

    private static List<Message> inMessages(String kind, List<ObjectChange> changes) {
        List<Message> messages = new ArrayList<>();
        for (int from = 0; from < changes.size(); from += OBJECTS_PER_MESSAGE) {
            int to = Math.min(changes.size(), from + OBJECTS_PER_MESSAGE);
            messages.add(new Message.ObjectChanges(kind, changes.subList(from, to)));
        }
        return messages;
    }

    /** No other host is known. */
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
