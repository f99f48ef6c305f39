package io.carawaylift.decisions.replica;

import io.carawaylift.model.RecordBytes;
import java.util.ArrayList;
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
        if (toVersion <= fromVersion) {
            throw new IllegalArgumentException("delta from version " + fromVersion + " to older " + toVersion);
        }
        edits = List.copyOf(edits);
    }

    /** Returns the delta from one version to a newer one. */
    public static RecordDelta between(ReplicaStore.Entry from, ReplicaStore.Entry to) {
        List<Edit> edits = LineDiff.between(lines(from.value()), lines(to.value()));
        return new RecordDelta(
                from.version(), to.version(), Digest64.of(to.value().toArray()), edits);
    }

    /** Returns the result, or empty if {@code base} is another version or the digest of the result differs. */
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
