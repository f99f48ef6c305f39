package io.carawaylift.decisions.replica;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.ResultCode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** Holds the newest known version of each record. Thread-safe. */
public final class ReplicaStore {
    /**
     * One version of a record.
     *
     * @param version version in the platform, increases with every change of the record
     */
    public record Entry(long version, RecordBytes value) {
        public Entry {
            Objects.requireNonNull(value, "value");
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private long digest;

    /**
     * Stores the value if its version is newer than the known one; returns whether it was.
     *
     * @throws CarawayliftException with INVARIANT_VIOLATED if the known version has another value
     */
    public synchronized boolean putIfNewer(String name, long version, RecordBytes value) {
        Entry known = entries.get(name);
        if (known != null && known.version() >= version) {
            checkSame(name, known, version, value);
            return false;
        }
        if (known != null) {
            digest -= Digest64.of(name, known.version());
        }
        // The digest is a sum over records; like an exclusive or, a sum can be undone when a version is replaced.
        digest += Digest64.of(name, version);
        entries.put(name, new Entry(version, value));
        return true;
    }

    /** Returns the newest known version of a record. */
    public synchronized Optional<Entry> read(String name) {
        return Optional.ofNullable(entries.get(name));
    }

    /** Returns a 64-bit digest of all names and versions; equal stores have equal digests. */
    public synchronized long digest() {
        return digest;
    }

    /** Returns all names with their versions. */
    public synchronized Map<String, Long> versions() {
        Map<String, Long> versions = new HashMap<>();
        entries.forEach((name, entry) -> versions.put(name, entry.version()));
        return versions;
    }

    /**
     * Applies a delta to the known version; returns whether the store now holds {@code delta.toVersion()} or a newer
     * version. If not, the caller has to fetch the whole record.
     */
    public synchronized boolean applyDelta(String name, RecordDelta delta) {
        Entry known = entries.get(name);
        if (known == null) {
            return false;
        }
        if (known.version() >= delta.toVersion()) {
            return true;
        }
        Optional<RecordBytes> result = delta.apply(known);
        result.ifPresent(value -> putIfNewer(name, delta.toVersion(), value));
        return result.isPresent();
    }

    /** Returns the records of which a peer with the given versions by name has an older version or none. */
    public synchronized Map<String, Entry> recordsOlderAtPeer(Map<String, Long> peerVersions) {
        Map<String, Entry> lacking = new HashMap<>();
        entries.forEach((name, entry) -> {
            if (entry.version() > peerVersions.getOrDefault(name, 0L)) {
                lacking.put(name, entry);
            }
        });
        return lacking;
    }

    /** Returns the names of the records of which a peer with the given versions by name has a newer version. */
    public synchronized List<String> namesNewerAtPeer(Map<String, Long> peerVersions) {
        List<String> newer = new ArrayList<>();
        peerVersions.forEach((name, version) -> {
            Entry known = entries.get(name);
            if (known == null || known.version() < version) {
                newer.add(name);
            }
        });
        return newer;
    }

    private static void checkSame(String name, Entry known, long version, RecordBytes value) {
        if (known.version() == version && !known.value().equals(value)) {
            throw new CarawayliftException(
                    ResultCode.INVARIANT_VIOLATED, "two values of version " + version + " of record " + name);
        }
    }
}
