package io.carawaylift.decisions.replica;

import io.carawaylift.model.RecordBytes;
import java.util.List;
import java.util.Optional;

/**
 * Difference between two versions of a record by lines. Can be sent as MessagePack or JSON. Immutable.
 *
 * @param fromVersion version that the delta applies to
 * @param toVersion version of the result, above {@code fromVersion}
 * @param resultDigest 64-bit digest of the result
 * @param edits changes in ascending order of lines of the old version
 */
public record RecordDelta(long fromVersion, long toVersion, long resultDigest, List<Edit> edits) {
    /**
     * Replaces lines.
     *
     * @param line index of the first replaced line in the old version, from 0
     * @param removed number of lines removed there
     * @param added lines put in their place
     */
    public record Edit(int line, int removed, List<String> added) {
        public Edit {
            added = List.copyOf(added);
        }
    }

    public RecordDelta {
        edits = List.copyOf(edits);
    }

    /** Returns the delta from one version to a newer one. */
    public static RecordDelta between(ReplicaStore.Entry from, ReplicaStore.Entry to) {
        throw new UnsupportedOperationException();
    }

    /** Returns the result, or empty if {@code base} is another version or the digest of the result differs. */
    public Optional<RecordBytes> apply(ReplicaStore.Entry base) {
        throw new UnsupportedOperationException();
    }
}
