package io.carawaylift.decisions.ownership;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** One record {@code owners/} as a successor's control program knows it, and since when it is successor of what. */
final class KnownOwnersRecord {
    /** SuccessorRole of a successor: it ends with the epoch, because another owner promises and is promised nothing yet. */
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
     * Takes a record if it is newer, or the same one read from the platform for the first time.
     *
     * <p>An earlier run of this control program may have left an update under way that ends this host's role. The first
     * record read from the platform therefore counts as unresolved, if it names this host as a successor: a rewrite of it
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

    /** Returns whether this host has been the endpoint's successor under the same owner for so long. */
    boolean isSuccessorFor(Ownership entry, long nanos, long nowNanos) {
        SuccessorRole role = roles.get(entry.endpoint());
        return role != null && nowNanos - role.sinceNanos() >= nanos;
    }

    boolean isSuccessorOf(EntryProcess owner) {
        return record.endpoints().stream()
                .anyMatch(entry -> entry.owner().equals(owner) && host.equals(entry.successor()));
    }

    /** Adds the owners of the endpoints that this host is the successor of. */
    void addOwners(Set<EntryProcess> owners) {
        for (Ownership entry : record.endpoints()) {
            if (host.equals(entry.successor())) {
                owners.add(entry.owner());
            }
        }
    }
}
