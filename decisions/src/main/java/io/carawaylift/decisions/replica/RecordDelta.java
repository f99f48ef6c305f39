package io.carawaylift.decisions.replica;

import io.carawaylift.model.RecordBytes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Line-based difference between two versions of a record. Serializable as MessagePack or JSON. Immutable.
 *
 * @param fromVersion version that the delta applies to
 * @param toVersion version of the result, greater than {@code fromVersion}
 * @param resultDigest 64-bit digest of the result
 * @param edits edits in ascending order of lines of the old version
 */
public record RecordDelta(long fromVersion, long toVersion, long resultDigest, List<Edit> edits) {
    /**
     * Replaces a range of lines; an empty range inserts, no added lines delete.
     *
     * @param line index of the first replaced line in the old version, starting at 0
     * @param removed number of lines removed
     * @param added lines inserted in their place
     */
    public record Edit(int line, int removed, List<String> added) {
        public Edit {
            added = List.copyOf(added);
        }
    }

    public RecordDelta {
        if (toVersion <= fromVersion) {
            throw new IllegalArgumentException(
                    "delta from version " + fromVersion + " must lead to a newer version, not " + toVersion);
        }
        edits = List.copyOf(edits);
    }

    /**
     * Returns the delta from one version to a newer one.
     *
     * @throws IllegalArgumentException if the version of {@code to} is not newer
     */
    public static RecordDelta between(ReplicaStore.Entry from, ReplicaStore.Entry to) {
        List<Edit> edits = LineDiff.between(lines(from.value()), lines(to.value()));
        return new RecordDelta(
                from.version(), to.version(), Digest64.of(to.value().toArray()), edits);
    }

    /** Returns the new value; empty if {@code base} has another version, an edit is out of range or the digest differs. */
    public Optional<RecordBytes> apply(ReplicaStore.Entry base) {
        if (base.version() != fromVersion) {
            return Optional.empty();
        }
        return applyEdits(lines(base.value()))
                .map(lines -> RecordBytes.of(String.join("\n", lines)))
                .filter(result -> Digest64.of(result.toArray()) == resultDigest);
    }

    private Optional<List<String>> applyEdits(List<String> old) {
        List<String> result = new ArrayList<>(old.size());
        int copied = 0;
        for (Edit edit : edits) {
            if (edit.line() < copied || edit.removed() < 0 || edit.line() > old.size() - edit.removed()) {
                return Optional.empty();
            }
            result.addAll(old.subList(copied, edit.line()));
            result.addAll(edit.added());
            copied = edit.line() + edit.removed();
        }
        result.addAll(old.subList(copied, old.size()));
        return Optional.of(result);
    }

    private static List<String> lines(RecordBytes value) {
        return List.of(value.text().split("\n", -1));
    }
}
