package io.carawaylift.decisions.replica;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.RecordBytes;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ReplicaStoreTest {
    private static final RecordBytes A = RecordBytes.of("a");
    private static final RecordBytes B = RecordBytes.of("b");

    /** Guards against a late message that restores an old version. */
    @Test
    void olderVersionIsIgnored() {
        ReplicaStore store = new ReplicaStore();
        assertThat(store.putIfNewer("x", 2, B)).isTrue();
        assertThat(store.putIfNewer("x", 1, A)).isFalse();
        assertThat(store.read("x").orElseThrow().version()).isEqualTo(2);
    }

    /** Guards against digests that depend on the order of the changes. */
    @Test
    void equalContentHasEqualDigests() {
        ReplicaStore one = new ReplicaStore();
        one.putIfNewer("x", 1, A);
        one.putIfNewer("y", 7, A);
        one.putIfNewer("x", 2, B);
        ReplicaStore other = new ReplicaStore();
        other.putIfNewer("x", 2, B);
        assertThat(other.digest()).isNotEqualTo(one.digest());
        other.putIfNewer("y", 7, A);
        assertThat(other.digest()).isEqualTo(one.digest());
    }

    /** Guards against diverged histories of a record, for example after the platform lost a write. */
    @Test
    void differentValuesOfOneVersionAreRejected() {
        ReplicaStore store = new ReplicaStore();
        store.putIfNewer("x", 1, A);
        assertThrows(CarawayliftException.class, () -> store.putIfNewer("x", 1, B));
    }

    /** Guards against fetching records that are not newer at the peer, and against missing records that the peer lacks. */
    @Test
    void selectsRecordsThatAreOlderOnEitherSide() {
        ReplicaStore store = new ReplicaStore();
        store.putIfNewer("mine", 1, A);
        store.putIfNewer("newer", 5, A);
        store.putIfNewer("older", 5, A);
        Map<String, Long> peer = Map.of("newer", 4L, "older", 6L, "theirs", 1L);
        assertThat(store.recordsOlderAtPeer(peer).keySet()).containsExactly("mine", "newer");
        assertThat(store.namesNewerAtPeer(peer)).containsExactly("older", "theirs");
    }

    /** Guards against storing a record whose delta could not be applied. */
    @Test
    void deltaIsAppliedOnlyToItsBaseVersion() {
        ReplicaStore store = new ReplicaStore();
        RecordDelta delta = RecordDelta.between(new ReplicaStore.Entry(2, A), new ReplicaStore.Entry(3, B));
        assertThat(store.applyDelta("x", delta)).isFalse();
        store.putIfNewer("x", 1, A);
        assertThat(store.applyDelta("x", delta)).isFalse();
        store.putIfNewer("x", 2, A);
        assertThat(store.applyDelta("x", delta)).isTrue();
        assertThat(store.read("x").orElseThrow().value()).isEqualTo(B);
    }
}
