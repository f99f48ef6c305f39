package io.carawaylift.control;

import io.carawaylift.decisions.ownership.Acknowledgement;
import io.carawaylift.decisions.replica.ReplicaStore;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.RecordNames;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Connections of the outboxOf and lookup programs of this host. Used on the decision thread only. */
final class LocalPrograms implements Records.Listener {
    private final Records records;
    private final DeltaCache fullRecords = new DeltaCache();
    private final Map<Connection, Outbox> outboxes = new LinkedHashMap<>();

    LocalPrograms(Records records) {
        this.records = records;
    }

    void opened(Connection connection) {
        Outbox outbox = new Outbox(connection, records.store(), fullRecords);
        outboxes.put(connection, outbox);
        for (String name : records.store().versions().keySet()) {
            addIfUsed(outbox, name);
        }
        if (records.isSynchronized()) {
            outbox.addComplete();
        }
        outbox.flush();
    }

    void closed(Connection connection) {
        outboxes.remove(connection);
    }

    void writable(Connection connection) {
        Outbox outbox = outboxes.get(connection);
        if (outbox != null) {
            outbox.flush();
        }
    }

    /** Passes a heartbeatHandler on if it speaks of the process that opened the connection. */
    void received(Connection connection, Message message, Consumer<MemberReport> heartbeatHandler) {
        if (message instanceof Message.Heartbeat heartbeatMessage
                && heartbeatMessage.report().member().process().equals(connection.remote().process())) {
            heartbeatHandler.accept(heartbeatMessage.report());
        }
    }

    /** Tells the outboxOf process that the platform holds its heartbeatHandler. */
    void confirm(Message.HeartbeatConfirmed confirmed) {
        outboxOf(confirmed.process()).ifPresent(outbox -> outbox.connection().send(confirmed));
    }

    /** Tells the outboxOf process about a promise, if it has been sent all owners that the successor knew. */
    boolean acknowledge(Message.HeartbeatAcknowledged message) {
        Optional<Outbox> outbox = outboxOf(message.process());
        if (outbox.isEmpty()) {
            return true;
        }
        Acknowledgement acknowledgement = new Acknowledgement(
                message.successorHost(), message.process(), message.heartbeat(), message.ownersVersions());
        Map<String, Long> owners = new HashMap<>(outbox.get().sentVersions());
        owners.keySet().retainAll(records.regionOwners().keySet());
        boolean covered = acknowledgement.isCoveredBy(owners);
        if (covered) {
            outbox.get().connection().send(message);
        }
        return covered;
    }

    @Override
    public void recordChanged(String name, Optional<ReplicaStore.Entry> before) {
        for (Outbox outbox : outboxes.values()) {
            addIfUsed(outbox, name);
            outbox.flush();
        }
    }

    @Override
    public void recordsSynchronized() {
        for (Outbox outbox : outboxes.values()) {
            outbox.addComplete();
            outbox.flush();
        }
    }

    /** Only lookup programs use the maps of client addresses, which are by far the largest records. */
    private static void addIfUsed(Outbox outbox, String name) {
        boolean isLookup = outbox.connection().remote().process() == null;
        if (isLookup || !name.startsWith(RecordNames.BLOCKS_PREFIX)) {
            outbox.add(name, Optional.empty());
        }
    }

    private Optional<Outbox> outboxOf(EntryProcess process) {
        return outboxes.values().stream()
                .filter(outbox -> process.equals(outbox.connection().remote().process()))
                .findFirst();
    }
}
