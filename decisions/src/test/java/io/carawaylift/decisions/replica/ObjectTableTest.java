package io.carawaylift.decisions.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class ObjectTableTest {
    private final ObjectTable<String> table = new ObjectTable<>();

    private record TableChange(String name, long revision, boolean deleted) {
        void applyTo(ObjectTable<String> table) {
            if (deleted) {
                table.delete(name, revision);
            } else {
                table.put(name, revision, "value " + revision);
            }
        }
    }

    /** Guards against a deleted object that reappears because a late message contains a version from before its deletion. */
    @Test
    void aDeletedObjectDoesNotReturnWithAnOldVersion() {
        table.put("a", 3, "x");
        assertThat(table.delete("a", 4)).isTrue();

        assertThat(table.put("a", 3, "x")).isFalse();
        assertThat(table.all()).isEmpty();
        assertThat(table.put("a", 5, "created again")).isTrue();
    }

    /** Guards against a late deletion that removes an object that was created again. */
    @Test
    void anOldDeletionDoesNotRemoveANewerObject() {
        table.put("a", 7, "new");

        assertThat(table.delete("a", 4)).isFalse();
        assertThat(table.all()).hasSize(1);
    }

    /** Guards against a deletion that arrives before the version it deletes. */
    @Test
    void aDeletionThatArrivesBeforeItsVersionIsApplied() {
        assertThat(table.delete("a", 4)).isFalse();

        assertThat(table.put("a", 4, "x")).isFalse();
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
        table.put("a", 1, "x");
        other.put("a", 2, "x");

        assertThat(table.digest()).isNotEqualTo(other.digest());
        assertThat(table.without(Set.of("a"))).isEmpty();
        assertThat(table.without(Set.of())).hasSize(1);
    }
}
