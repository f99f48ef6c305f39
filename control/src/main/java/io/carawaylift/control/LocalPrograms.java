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

/** Connections of the entry and lookup programs of this host. Used on the decision thread only. */
final class LocalPrograms implements Records.Listener {
    private final Records records;
    private final DeltaCache wholeRecords = new DeltaCache();
    private final Map<Connection, Outbox> open = new LinkedHashMap<>();

    LocalPrograms(Records records) {
        this.records = records;
    }

    void opened(Connection connection) {
        Outbox outbox = new Outbox(connection, records.store(), wholeRecords);
        open.put(connection, outbox);
        for (String name : records.store().versions().keySet()) {
            addIfUsed(outbox, name);
        }
        if (records.isSynchronized()) {
            outbox.addComplete();
        }
        outbox.flush();
    }

    void closed(Connection connection) {
        open.remove(connection);
    }

    void writable(Connection connection) {
        Outbox outbox = open.get(connection);
        if (outbox != null) {
            outbox.flush();
        }
    }

    /** Passes a heartbeat on if it speaks of the process that opened the connection. */
    void received(Connection connection, Message message, Consumer<MemberReport> heartbeat) {
        if (message instanceof Message.Heartbeat beat
                && beat.report().member().process().equals(connection.remote().process())) {
            heartbeat.accept(beat.report());
        }
    }

    /** Tells the entry process that the platform holds its heartbeat. */
    void confirm(Message.HeartbeatConfirmed confirmed) {
        entry(confirmed.process()).ifPresent(outbox -> outbox.connection().send(confirmed));
    }

    /** Tells the entry process about a promise, if it has been sent all owners that the successor knew. */
    boolean acknowledge(Message.HeartbeatAcknowledged message) {
        Optional<Outbox> outbox = entry(message.process());
        if (outbox.isEmpty()) {
            return true;
        }
        Acknowledgement acknowledgement = new Acknowledgement(
                message.successorHost(), message.process(), message.heartbeat(), message.ownersVersions());
        Map<String, Long> owners = new HashMap<>(outbox.get().passedOn());
        owners.keySet().retainAll(records.regionOwners().keySet());
        boolean covered = acknowledgement.isCoveredBy(owners);
        if (covered) {
            outbox.get().connection().send(message);
        }
        return covered;
    }

    @Override
    public void recordChanged(String name, Optional<ReplicaStore.Entry> before) {
        for (Outbox outbox : open.values()) {
            addIfUsed(outbox, name);
            outbox.flush();
        }
    }

    @Override
    public void synchronizedOnce() {
        for (Outbox outbox : open.values()) {
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

    private Optional<Outbox> entry(EntryProcess process) {
        return open.values().stream()
                .filter(outbox -> process.equals(outbox.connection().remote().process()))
                .findFirst();
    }
}
