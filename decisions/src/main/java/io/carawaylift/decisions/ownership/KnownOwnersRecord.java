package io.carawaylift.decisions.ownership;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * A successor's view of one record {@code owners/}, with the time since which its host is the successor of each
 * endpoint.
 */
final class KnownOwnersRecord {
    /** Role of a successor. It ends with the epoch, because no guarantee has been given to the next owner yet. */
    private record SuccessorRole(long epoch, long sinceNanos) {}

    private final String host;
    private final Map<String, SuccessorRole> roles = new HashMap<>();
    private long version;
    private OwnersRecord record;
    /** Version that an unresolved update expects, 0 if none is unresolved. */
    private long unresolvedVersion;

    private boolean readFromPlatform;

    KnownOwnersRecord(String host) {
        this.host = host;
    }

    /**
     * Updates to a record if it is newer, or to the same one if it is read from the platform for the first time.
     *
     * <p>An earlier run of this control program may have an update in flight that ends this host's role. The first
     * record read from the platform therefore counts as unresolved if it names this host as a successor: rewriting it
     * makes every older update fail.
     */
    void update(long newVersion, OwnersRecord newRecord, boolean fromPlatform, long nowNanos) {
        if (newVersion > version) {
            version = newVersion;
            record = newRecord;
            updateRoles(nowNanos);
            unresolvedVersion = 0;
        }
        if (fromPlatform && !readFromPlatform && newVersion == version) {
            readFromPlatform = true;
            unresolvedVersion = roles.isEmpty() ? 0 : version;
        }
    }

    private void updateRoles(long nowNanos) {
        Map<String, SuccessorRole> before = new HashMap<>(roles);
        roles.clear();
        for (Ownership entry : record.endpoints()) {
            if (host.equals(entry.successor())) {
                SuccessorRole known = before.get(entry.endpoint());
                boolean same = known != null && known.epoch() == entry.epoch();
                roles.put(entry.endpoint(), same ? known : new SuccessorRole(entry.epoch(), nowNanos));
            }
        }
    }

    long version() {
        return version;
    }

    OwnersRecord record() {
        return record;
    }

    boolean isUnresolved() {
        return unresolvedVersion != 0;
    }

    void updateSent() {
        unresolvedVersion = version;
    }

    /** Returns whether this run has read the record from the platform and no update of it is unresolved. */
    boolean isSettled() {
        return readFromPlatform && !isUnresolved();
    }

    boolean hasBeenReadFromPlatform() {
        return readFromPlatform;
    }

    /** Returns whether this host has been the endpoint's successor in the entry's epoch for at least {@code nanos}. */
    boolean isSuccessorFor(Ownership entry, long nanos, long nowNanos) {
        SuccessorRole role = roles.get(entry.endpoint());
        return role != null && nowNanos - role.sinceNanos() >= nanos;
    }

    boolean isSuccessorOf(EntryProcess owner) {
        return record.endpoints().stream()
                .anyMatch(entry -> entry.owner().equals(owner) && host.equals(entry.successor()));
    }

    /** Adds the owners of the endpoints whose successor is this host. */
    void addOwners(Set<EntryProcess> owners) {
        for (Ownership entry : record.endpoints()) {
            if (host.equals(entry.successor())) {
                owners.add(entry.owner());
            }
        }
    }
}
