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

/** Sends records and confirmations to the entry and lookup programs of this host. Used on the decision thread only. */
final class LocalPrograms implements Records.Listener {
    private final Records records;
    /** Only creates messages with full records; entry and lookup programs do not accept deltas. */
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

    /**
     * Passes a heartbeat to the handler if it is about the process that opened the connection; ignores other messages.
     */
    void received(Connection connection, Message message, Consumer<MemberReport> heartbeatHandler) {
        if (message instanceof Message.Heartbeat heartbeatMessage
                && heartbeatMessage
                        .report()
                        .member()
                        .process()
                        .equals(connection.remote().process())) {
            heartbeatHandler.accept(heartbeatMessage.report());
        }
    }

    /** Sends the entry process the confirmation that its heartbeat was written to the platform. */
    void confirm(Message.HeartbeatConfirmed confirmed) {
        outboxOf(confirmed.process()).ifPresent(outbox -> outbox.connection().send(confirmed));
    }

    /**
     * Sends the entry process an acknowledgement if it was already sent all {@code owners/} records that the successor
     * knew.
     *
     * @return false if such a record is still missing; the acknowledgement is dropped then
     */
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

    /** Sends maps of client addresses to lookup programs only; they are by far the largest records. */
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
