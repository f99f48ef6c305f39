package io.carawaylift.decisions.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class ObjectTableTest {
    private final ObjectTable<String> table = new ObjectTable<>();

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }

    private record TableChange(String name, long revision, boolean deleted) {
        void applyTo(ObjectTable<String> table) {
            if (deleted) {
                table.delete(name, at(revision));
            } else {
                table.put(name, at(revision), "value " + revision);
            }
        }
    }

    /** Guards against a deleted object that reappears because a late message contains a version from before its deletion. */
    @Test
    void aDeletedObjectDoesNotReturnWithAnOldVersion() {
        table.put("a", at(3), "x");
        assertThat(table.delete("a", at(4))).isTrue();

        assertThat(table.put("a", at(3), "x")).isFalse();
        assertThat(table.all()).isEmpty();
        assertThat(table.put("a", at(5), "created again")).isTrue();
    }

    /** Guards against a late deletion that removes an object that was created again. */
    @Test
    void anOldDeletionDoesNotRemoveANewerObject() {
        table.put("a", at(7), "new");

        assertThat(table.delete("a", at(4))).isFalse();
        assertThat(table.all()).hasSize(1);
    }

    /** Guards against a deletion that arrives before the version it deletes. */
    @Test
    void aDeletionThatArrivesBeforeItsVersionIsApplied() {
        assertThat(table.delete("a", at(4))).isFalse();

        assertThat(table.put("a", at(4), "x")).isFalse();
        assertThat(table.all()).isEmpty();
    }

    /** Guards against hosts that reach different states from the same changes in another order or with duplicates. */
    @Test
    void theOrderAndRepetitionOfChangesDoNotMatter() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            List<TableChange> changes = new ArrayList<>();
            for (int revision = 1; revision <= 40; revision++) {
                changes.add(new TableChange("n" + random.nextInt(6), revision, random.nextInt(3) == 0));
            }
            ObjectTable<String> inOrder = new ObjectTable<>();
            changes.forEach(change -> change.applyTo(inOrder));
            List<TableChange> shuffled = new ArrayList<>(changes);
            shuffled.addAll(changes.subList(0, 20));
            Collections.shuffle(shuffled, random);
            ObjectTable<String> shuffledTable = new ObjectTable<>();
            shuffled.forEach(change -> change.applyTo(shuffledTable));

            assertThat(Set.copyOf(shuffledTable.all())).isEqualTo(Set.copyOf(inOrder.all()));
            assertThat(shuffledTable.digest()).isEqualTo(inOrder.digest());
        }
    }

    /** Guards against equal digests of different tables, with which a host would regard itself as in sync with its relay. */
    @Test
    void tablesThatDifferInOneRevisionHaveDifferentDigests() {
        ObjectTable<String> other = new ObjectTable<>();
        table.put("a", at(1), "x");
        other.put("a", at(2), "x");

        assertThat(table.digest()).isNotEqualTo(other.digest());
        assertThat(table.without(Set.of("a"))).isEmpty();
        assertThat(table.without(Set.of())).hasSize(1);
    }

    /** A value with a mark: its writer's sequence and content. */
    private record Entry(long sequence, String content) {
        private Optional<WriterMark> mark() {
            return Optional.of(new WriterMark(1, sequence, content.hashCode()));
        }
    }

    private static StorePosition restoredAt(long revision) {
        return new StorePosition(2, revision);
    }

    /** Guards against changes of a restored store that are ignored because revisions start again from a lower one. */
    @Test
    void aVersionOfALaterEraReplacesOneWithAHigherRevision() {
        table.reached(at(100));
        table.put("a", at(90), "before");
        table.delete("b", at(95));

        assertThat(table.reached(restoredAt(50))).isTrue();
        assertThat(table.put("a", restoredAt(40), "restored")).isTrue();
        assertThat(table.put("b", restoredAt(60), "created again")).isTrue();
        assertThat(table.put("a", at(91), "late message")).isFalse();
        assertThat(table.delete("a", at(99))).isFalse();
        assertThat(table.newerThanStore()).isEmpty();
    }

    /** Guards against an older version, or a removed object, that comes back with a restored store. */
    @Test
    void whatTheWriterProvesToBeOlderIsWithheldUntilItIsWrittenAgain() {
        ObjectTable<Entry> entries = new ObjectTable<>(Entry::mark);
        entries.reached(at(100));
        entries.put("changed", at(90), new Entry(7, "draining"));
        entries.put("same", at(91), new Entry(7, "ready"));
        entries.put("gone", at(92), new Entry(7, "ready"));
        entries.delete("gone", at(95));
        entries.reached(restoredAt(50));

        assertThat(entries.put("changed", restoredAt(40), new Entry(5, "ready")))
                .isFalse();
        assertThat(entries.put("same", restoredAt(41), new Entry(5, "ready"))).isTrue();
        assertThat(entries.put("gone", restoredAt(42), new Entry(5, "ready"))).isFalse();
        assertThat(entries.withholdsAny()).isTrue();
        assertThat(entries.newerThanStore().stream()
                        .map(ObjectTable.Version::name)
                        .toList())
                .containsExactly("changed");
        assertThat(entries.put("changed", restoredAt(60), new Entry(8, "draining")))
                .isTrue();
        assertThat(entries.put("gone", restoredAt(61), new Entry(7, "ready"))).isTrue();
        assertThat(entries.withholdsAny()).isFalse();
    }

    /** Guards against a host that read the restored store only and refuses what others know to be newer. */
    @Test
    void aNewerVersionOfAnEarlierEraReplacesTheRestoredOneInEitherOrder() {
        ObjectTable<Entry> first = new ObjectTable<>(Entry::mark);
        ObjectTable<Entry> second = new ObjectTable<>(Entry::mark);
        first.put("a", at(90), new Entry(7, "newer"));
        first.put("a", restoredAt(40), new Entry(5, "older"));
        second.put("a", restoredAt(40), new Entry(5, "older"));
        second.put("a", at(90), new Entry(7, "newer"));

        assertThat(Set.copyOf(second.all())).isEqualTo(Set.copyOf(first.all()));
        assertThat(second.digest()).isEqualTo(first.digest());
        assertThat(second.withholdsAny()).isTrue();
    }

    /** Guards against a live object that stays withheld for ever because its writer has nothing new to say. */
    @Test
    void aWithheldVersionCanBeTakenAfterAll() {
        ObjectTable<Entry> entries = new ObjectTable<>(Entry::mark);
        entries.reached(at(100));
        entries.put("a", at(90), new Entry(7, "ready"));
        entries.delete("a", at(95));
        entries.reached(restoredAt(50));
        entries.put("a", restoredAt(40), new Entry(5, "ready"));

        assertThat(entries.release("a", restoredAt(41))).isEmpty();
        assertThat(entries.release("a", restoredAt(40))).isPresent();
        assertThat(entries.all()).hasSize(1);
        assertThat(entries.withholdsAny()).isFalse();
    }
}
