package io.carawaylift.control;

import io.carawaylift.decisions.replica.ReplicaStore;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Records that are due on one connection. Several changes of a record become one message, and records wait here while the
 * connection's buffer is full, so that a slow receiver costs no memory. Used on the decision thread only.
 */
final class Outbox {
    private final Connection connection;
    private final ReplicaStore store;
    private final DeltaCache deltas;
    private final Map<String, Optional<ReplicaStore.Entry>> due = new LinkedHashMap<>();
    private final Map<String, Long> passedOn = new HashMap<>();
    private boolean completeDue;

    Outbox(Connection connection, ReplicaStore store, DeltaCache deltas) {
        this.connection = connection;
        this.store = store;
        this.deltas = deltas;
    }

    Connection connection() {
        return connection;
    }

    /** Returns the versions handed to the connection so far, by record name. */
    Map<String, Long> passedOn() {
        return passedOn;
    }

    /** Sends a record soon; {@code base} is the version that the receiver probably has, empty to send the whole. */
    void add(String name, Optional<ReplicaStore.Entry> base) {
        Optional<ReplicaStore.Entry> earlier = due.putIfAbsent(name, base);
        if (earlier != null && base.isEmpty()) {
            due.put(name, base);
        }
    }

    /** Sends {@link Message.RecordsComplete} after all records that are due. */
    void addComplete() {
        completeDue = true;
    }

    /** Sends what the connection takes now. */
    void flush() {
        while (!due.isEmpty() && connection.isWritable()) {
            Map.Entry<String, Optional<ReplicaStore.Entry>> next =
                    due.entrySet().iterator().next();
            String name = next.getKey();
            ReplicaStore.Entry entry = store.read(name).orElseThrow();
            if (!connection.send(deltas.message(name, next.getValue(), entry))) {
                return;
            }
            due.remove(name);
            passedOn.put(name, entry.version());
        }
        if (due.isEmpty() && completeDue && connection.send(new Message.RecordsComplete())) {
            completeDue = false;
        }
    }
}
