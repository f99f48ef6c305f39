package io.carawaylift.decisions.replica;

import io.carawaylift.model.RecordBytes;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The newest known version of each record. Thread-safe. */
public final class ReplicaStore {
    /**
     * One version of a record.
     *
     * @param version version in the platform, rises with every change of the record
     */
    public record Entry(long version, RecordBytes value) {}

    /** Keeps the value if its version is newer than the known one; returns whether it was. */
    public boolean offer(String name, long version, RecordBytes value) {
        throw new UnsupportedOperationException();
    }

    /** Returns the newest known version of a record. */
    public Optional<Entry> read(String name) {
        throw new UnsupportedOperationException();
    }

    /** Returns a 64-bit digest of all names and versions; equal stores have equal digests. */
    public long digest() {
        throw new UnsupportedOperationException();
    }

    /** Returns all names with their versions. */
    public Map<String, Long> versions() {
        throw new UnsupportedOperationException();
    }

    /**
     * Applies a delta to the known version; returns whether the store now holds {@code delta.toVersion()} or a newer
     * version. If not, the whole record is to be pulled.
     */
    public boolean offer(String name, RecordDelta delta) {
        throw new UnsupportedOperationException();
    }

    /** Returns the records of which a peer with these versions has an older version or none. */
    public Map<String, Entry> lackingAt(Map<String, Long> peerVersions) {
        throw new UnsupportedOperationException();
    }

    /** Returns the names of which a peer with these versions has a newer version than this store. */
    public List<String> newerAt(Map<String, Long> peerVersions) {
        throw new UnsupportedOperationException();
    }
}
