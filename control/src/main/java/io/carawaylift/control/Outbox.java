package io.carawaylift.control;

import io.carawaylift.decisions.replica.ReplicaStore;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the records that are pending on one connection. Several changes of a record are combined into one message while
 * the buffer of the connection is full, so that a slow receiver does not cause unbounded buffering. Used on the
 * decision thread only.
 */
final class Outbox {
    private final Connection connection;
    private final ReplicaStore store;
    private final DeltaCache deltas;
    private final Map<String, Optional<ReplicaStore.Entry>> pending = new LinkedHashMap<>();
    private final Map<String, Long> sentVersions = new HashMap<>();
    private boolean completePending;

    Outbox(Connection connection, ReplicaStore store, DeltaCache deltas) {
        this.connection = connection;
        this.store = store;
        this.deltas = deltas;
    }

    Connection connection() {
        return connection;
    }

    /** Returns the newest versions passed to the connection, by record name. */
    Map<String, Long> sentVersions() {
        return sentVersions;
    }

    /**
     * Adds a record to be sent by {@link #flush}.
     *
     * @param base version that the receiver probably has, empty to send the full record
     */
    void add(String name, Optional<ReplicaStore.Entry> base) {
        Optional<ReplicaStore.Entry> previousBase = pending.putIfAbsent(name, base);
        if (previousBase != null && base.isEmpty()) {
            pending.put(name, base);
        }
    }

    /** Sends {@link Message.RecordsComplete} after all pending records. */
    void addComplete() {
        completePending = true;
    }

    /** Sends pending records until the buffer of the connection is full. */
    void flush() {
        while (!pending.isEmpty() && connection.isWritable()) {
            Map.Entry<String, Optional<ReplicaStore.Entry>> next =
                    pending.entrySet().iterator().next();
            String name = next.getKey();
            ReplicaStore.Entry entry = store.read(name).orElseThrow();
            if (!connection.send(deltas.message(name, next.getValue(), entry))) {
                return;
            }
            pending.remove(name);
            sentVersions.put(name, entry.version());
        }
        if (pending.isEmpty() && completePending && connection.send(new Message.RecordsComplete())) {
            completePending = false;
        }
    }
}
