package io.carawaylift.cli;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.model.AcceptedTable;
import io.carawaylift.model.AuditEntry;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.RegionRow;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.Table;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class TableStoreTest {
    private static final Table FIRST = table(1);
    private static final Table SECOND = table(2);
    private static final Table THIRD = table(3);

    private final FakePlatform platform = new FakePlatform();
    private final TableStore store = new TableStore(platform, Clock.systemUTC());
    private final AuditTrail audit = new AuditTrail(platform);

    @Test
    void versionsIncreaseByOneAndEveryChangeIsAudited() {
        store.replace(Optional.empty(), FIRST, "ana", "start");
        AcceptedTable accepted = store.replace(store.read(), SECOND, "ben", "more");

        assertThat(accepted.version()).isEqualTo(2);
        assertThat(audit.newest(2, 10).stream().map(AuditEntry::author))
                .containsExactly("ben", "ana")
                .inOrder();
    }

    @Test
    void theLoserOfAConcurrentChangeGetsAConflictWithTheDifference() {
        store.replace(Optional.empty(), FIRST, "ana", "start");
        Optional<TableStore.Snapshot> base = store.read();
        store.replace(base, SECOND, "ben", "first");

        CarawayliftException thrown =
                assertThrows(CarawayliftException.class, () -> store.replace(base, THIRD, "ana", "second"));

        assertThat(thrown.code()).isEqualTo(ResultCode.VERSION_CONFLICT);
        assertThat(thrown).hasMessageThat().contains("name=kigali");
        assertThat(TableStore.rows(store.read())).isEqualTo(SECOND);
    }

    /** Guards against reporting a failure, or applying a change twice, when the response to an applied write is lost. */
    @Test
    void aLostWriteResponseIsResolvedByReadingBackTheChangeId() {
        platform.loseResponses(1);

        AcceptedTable accepted = store.replace(Optional.empty(), FIRST, "ana", "start");

        assertThat(store.read().orElseThrow().accepted()).isEqualTo(accepted);
        assertThat(audit.newest(1, 10)).hasSize(1);
    }

    /** Guards against a missing audit entry when a command terminates between its write of the table and of the entry. */
    @Test
    void theNextChangeAddsAMissingAuditEntry() {
        store.replace(Optional.empty(), FIRST, "ana", "start");
        FakePlatform platformAfterCrash = new FakePlatform();
        TableStore nextStore = new TableStore(platformAfterCrash, Clock.systemUTC());
        AcceptedTable first = store.read().orElseThrow().accepted();
        Futures.await(platformAfterCrash.write(RecordNames.TABLE, RecordCodec.encode(first), 0));

        nextStore.replace(nextStore.read(), SECOND, "ben", "next");

        assertThat(new AuditTrail(platformAfterCrash).newest(2, 10).stream().map(AuditEntry::author))
                .containsExactly("ben", "ana")
                .inOrder();
    }

    /** Guards against reporting a failure for a change that took effect and was then replaced by another operator. */
    @Test
    void aChangeThatWasAcceptedAndThenReplacedCountsAsAccepted() {
        store.replace(Optional.empty(), FIRST, "ana", "start");
        Optional<TableStore.Snapshot> base = store.read();
        platform.loseResponses(1);
        AcceptedTable accepted = store.replace(base, SECOND, "ana", "mine");
        store.replace(store.read(), THIRD, "ben", "rival");

        assertThat(audit.find(accepted.version(), accepted.changeId())).isPresent();
        assertThat(List.of(
                        accepted.version(),
                        store.read().orElseThrow().accepted().version()))
                .containsExactly(2L, 3L)
                .inOrder();
    }

    private static Table table(int weight) {
        return Table.builder().put(new RegionRow("kigali", weight, 0)).build();
    }
}
