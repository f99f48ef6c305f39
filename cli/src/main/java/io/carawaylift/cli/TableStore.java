package io.carawaylift.cli;

import io.carawaylift.model.AcceptedTable;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.RowChange;
import io.carawaylift.model.Table;
import io.carawaylift.platform.PlatformClient;
import io.carawaylift.platform.StoredObject;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/**
 * Reads and changes the accepted table. A change is a conditional update, so that of two operators who race one wins and
 * the other is told what the winner changed.
 */
final class TableStore {
    private static final Table EMPTY_TABLE = Table.builder().build();

    private final PlatformClient platform;
    private final AuditTrail audit;
    private final Clock clock;

    TableStore(PlatformClient platform, Clock clock) {
        this.platform = platform;
        this.audit = new AuditTrail(platform);
        this.clock = clock;
    }

    /** A table as read, with the platform's version that a conditional update names. */
    record Snapshot(AcceptedTable accepted, long platformVersion) {}

    /** Returns the accepted table, or empty if none was ever accepted. */
    Optional<Snapshot> read() {
        Optional<StoredObject> stored = Futures.await(platform.read(RecordNames.TABLE));
        return stored.map(
                object -> new Snapshot(RecordCodec.decode(object.value(), AcceptedTable.class), object.version()));
    }

    /** Returns the rows of a snapshot; none if there is no accepted table. */
    static Table rows(Optional<Snapshot> snapshot) {
        return snapshot.map(found -> found.accepted().table()).orElse(EMPTY_TABLE);
    }

    /**
     * Replaces the table that {@code base} names.
     *
     * @throws CarawayliftException with {@link ResultCode#VERSION_CONFLICT} if another change was accepted since
     */
    AcceptedTable replace(Optional<Snapshot> base, Table table, String author, String reason) {
        base.ifPresent(snapshot -> audit.addIfAbsent(snapshot.accepted().auditEntry()));
        long version = base.map(snapshot -> snapshot.accepted().version()).orElse(0L) + 1;
        List<RowChange> changes = RowChange.between(rows(base), table);
        AcceptedTable accepted = new AcceptedTable(
                version,
                UUID.randomUUID().toString(),
                author,
                reason,
                clock.instant().toString(),
                changes,
                table);
        write(accepted, base);
        audit.addIfAbsent(accepted.auditEntry());
        return accepted;
    }

    private void write(AcceptedTable accepted, Optional<Snapshot> base) {
        long expected = base.map(Snapshot::platformVersion).orElse(PlatformClient.ABSENT);
        try {
            Futures.await(platform.write(RecordNames.TABLE, RecordCodec.encode(accepted), expected));
        } catch (CarawayliftException e) {
            boolean mayHaveTakenEffect =
                    e.code() == ResultCode.WRITE_UNRESOLVED || e.code() == ResultCode.VERSION_CONFLICT;
            if (!mayHaveTakenEffect || !isAccepted(accepted)) {
                throw withConflictingChanges(e, base);
            }
        }
    }

    /**
     * Returns whether a change took effect although its answer was lost. A later operator completes the audit trail before
     * replacing the table, so the change is either the current one or in the trail.
     */
    private boolean isAccepted(AcceptedTable accepted) {
        Optional<Snapshot> current = read();
        if (current.isPresent() && current.get().accepted().changeId().equals(accepted.changeId())) {
            return true;
        }
        return audit.find(accepted.version(), accepted.changeId()).isPresent();
    }

    private CarawayliftException withConflictingChanges(CarawayliftException failure, Optional<Snapshot> base) {
        Optional<Snapshot> current = read();
        List<RowChange> changes = RowChange.between(rows(base), rows(current));
        if (failure.code() != ResultCode.VERSION_CONFLICT || changes.isEmpty()) {
            return failure;
        }
        StringBuilder detail = new StringBuilder("the table was changed meanwhile:");
        changes.forEach(change -> detail.append("\n  ").append(change));
        return new CarawayliftException(ResultCode.VERSION_CONFLICT, detail.toString(), failure);
    }
}
