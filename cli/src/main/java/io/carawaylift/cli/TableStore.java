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
 * Reads and replaces the accepted table in the platform. A replacement is a conditional update: of two concurrent changes
 * one succeeds, and the other fails with the differences that the first one made.
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

    /** An accepted table and the platform's version of its object, which a conditional update expects. */
    record Snapshot(AcceptedTable accepted, long platformVersion) {}

    /** Returns the accepted table, or empty if there is none yet. */
    Optional<Snapshot> read() {
        Optional<StoredObject> stored = Futures.await(platform.read(RecordNames.TABLE));
        return stored.map(
                object -> new Snapshot(RecordCodec.decode(object.value(), AcceptedTable.class), object.version()));
    }

    /** Returns the table of a snapshot, or an empty table if there is no snapshot. */
    static Table rows(Optional<Snapshot> snapshot) {
        return snapshot.map(found -> found.accepted().table()).orElse(EMPTY_TABLE);
    }

    /**
     * Replaces the table in {@code base} and records the change in the audit trail.
     *
     * @param base snapshot that the change starts from, or empty if no table was accepted yet
     * @return the accepted table with its new version
     * @throws CarawayliftException with {@link ResultCode#VERSION_CONFLICT} if another change was accepted after
     *     {@code base} was read
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
     * Returns whether a change took effect although its write failed, for instance because the response was lost. Every
     * replacement first records its predecessor in the audit trail, so an accepted change is either current or in the trail.
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
        StringBuilder detail = new StringBuilder("the table was changed concurrently:");
        changes.forEach(change -> detail.append("\n  ").append(change));
        return new CarawayliftException(ResultCode.VERSION_CONFLICT, detail.toString(), failure);
    }
}
