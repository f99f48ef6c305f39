package io.carawaylift.model;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class RecordCodecTest {
    @Test
    void anOwnershipRecordReadsBackEqual() {
        OwnersRecord record = new OwnersRecord(
                "huye-a",
                "huye",
                List.of(),
                List.of(new Ownership("e1", new EntryProcess("h1", 2), "h2", 7, OwnershipMode.HALF, true, null, null)));

        assertThat(RecordCodec.decode(RecordCodec.encode(record), OwnersRecord.class))
                .isEqualTo(record);
    }

    @Test
    void anAcceptedTableReadsBackEqualAndHasOneLinePerRow() {
        Table table = Table.builder()
                .put(new RegionRow("a", 1, 0))
                .put(new RegionRow("b", 1, 0))
                .build();
        AcceptedTable accepted = new AcceptedTable(3, "c1", "ana", "why", "2026-01-01T00:00:00Z", List.of(), table);

        RecordBytes json = RecordCodec.encode(accepted);

        assertThat(RecordCodec.decode(json, AcceptedTable.class)).isEqualTo(accepted);
        assertThat(json.text()
                        .lines()
                        .filter(line -> line.contains("\"weight\""))
                        .count())
                .isEqualTo(2);
    }
}
