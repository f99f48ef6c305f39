package io.carawaylift.control;

import io.carawaylift.decisions.replica.RecordDelta;
import io.carawaylift.decisions.replica.ReplicaStore;
import io.carawaylift.peer.Message;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Creates messages that carry a record, as a delta where that is much shorter. Caches the last delta of each record,
 * because an agent sends the same one to about 50 members. Used on the decision thread only.
 */
final class DeltaCache {
    /**
     * Minimum ratio of the record size to the delta size. The receiver of a delta has to compute a digest, so a delta
     * must save at least half of the bytes.
     */
    private static final int MIN_SAVING_RATIO = 2;

    private final Map<String, CachedDelta> newestDeltas = new HashMap<>();

    /**
     * Returns the message that updates a receiver from {@code base} to {@code entry}; the full record if there is no
     * base.
     */
    Message message(String name, Optional<ReplicaStore.Entry> base, ReplicaStore.Entry entry) {
        if (base.isEmpty() || base.get().version() >= entry.version()) {
            return new Message.RecordValue(name, entry.version(), entry.value());
        }
        CachedDelta cached = newestDeltas.get(name);
        if (cached == null || cached.from() != base.get().version() || cached.to() != entry.version()) {
            cached = new CachedDelta(base.get().version(), entry.version(), delta(name, base.get(), entry));
            newestDeltas.put(name, cached);
        }
        return cached.message();
    }

    private static Message delta(String name, ReplicaStore.Entry base, ReplicaStore.Entry entry) {
        RecordDelta delta = RecordDelta.between(base, entry);
        long added = 0;
        for (RecordDelta.Edit edit : delta.edits()) {
            for (String line : edit.added()) {
                added += line.length();
            }
        }
        if (added * MIN_SAVING_RATIO > entry.value().length()) {
            return new Message.RecordValue(name, entry.version(), entry.value());
        }
        List<Message.LineEdit> edits = delta.edits().stream()
                .map(edit -> new Message.LineEdit(edit.line(), edit.removed(), edit.added()))
                .toList();
        return new Message.RecordDelta(name, delta.fromVersion(), delta.toVersion(), delta.resultDigest(), edits);
    }

    private record CachedDelta(long from, long to, Message message) {}
}
