package io.carawaylift.decisions.replica;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.RecordBytes;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RecordDeltaTest {
    /** Guards against edits that lose or duplicate lines when lines are repeated, moved or removed. */
    @Property(tries = 500)
    void appliedDeltaGivesTheNewerVersion(
            @ForAll @Size(max = 30) List<@IntRange(max = 6) Integer> from,
            @ForAll @Size(max = 30) List<@IntRange(max = 6) Integer> to) {
        ReplicaStore.Entry old = entry(3, from);
        ReplicaStore.Entry now = entry(5, to);
        assertThat(RecordDelta.between(old, now).apply(old)).isEqualTo(Optional.of(now.value()));
    }

    /** Guards against applying a delta to a value that it was not computed from. */
    @Test
    void wrongBaseIsRejected() {
        RecordDelta delta = RecordDelta.between(entry(1, List.of(1, 2, 3)), entry(2, List.of(1, 4, 3)));
        assertThat(delta.apply(entry(0, List.of(1, 2, 3)))).isEmpty();
        assertThat(delta.apply(entry(1, List.of(1, 2, 5)))).isEmpty();
        assertThat(delta.apply(entry(1, List.of()))).isEmpty();
    }

    /** Guards against deltas as large as the record when only one row changes. */
    @Test
    void changeOfOneLineSendsOneLine() {
        RecordDelta delta = RecordDelta.between(entry(1, List.of(1, 2, 3)), entry(2, List.of(1, 4, 3)));
        assertThat(delta.edits()).containsExactly(new RecordDelta.Edit(1, 1, List.of("4")));
    }

    private static ReplicaStore.Entry entry(long version, List<Integer> lines) {
        return new ReplicaStore.Entry(
                version,
                RecordBytes.of(
                        String.join("\n", lines.stream().map(String::valueOf).toList())));
    }
}
