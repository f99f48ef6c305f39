package io.carawaylift.decisions.ownership;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** One record {@code owners/} as a successor's control program knows it, and since when it is successor of what. */
final class KnownOwners {
    /** Role of a successor: it ends with the epoch, because another owner promises and is promised nothing yet. */
    private record Role(long epoch, long sinceNanos) {}

    private final String host;
    private final Map<String, Role> roles = new HashMap<>();
    private long version;
    private OwnersRecord record;
    /** Version that an unresolved update expects, 0 if none is unresolved. */
    private long unresolvedAt;

    private boolean fenced;

    KnownOwners(String host) {
        this.host = host;
    }

    /**
     * Takes a record if it is newer, or the same one read from the platform for the first time.
     *
     * <p>An earlier run of this control program may have left an update under way that ends this host's role. The first
     * record read from the platform therefore counts as unresolved, if it names this host as a successor: a rewrite of it
     * makes every older update fail.
     */
    void take(long newVersion, OwnersRecord newRecord, boolean fromPlatform, long nowNanos) {
        if (newVersion > version) {
            version = newVersion;
            record = newRecord;
            updateRoles(nowNanos);
            unresolvedAt = 0;
        }
        if (fromPlatform && !fenced && newVersion == version) {
            fenced = true;
            unresolvedAt = roles.isEmpty() ? 0 : version;
        }
    }

    private void updateRoles(long nowNanos) {
        Map<String, Role> before = new HashMap<>(roles);
        roles.clear();
        for (Ownership entry : record.endpoints()) {
            if (host.equals(entry.successor())) {
                Role known = before.get(entry.endpoint());
                boolean same = known != null && known.epoch() == entry.epoch();
                roles.put(entry.endpoint(), same ? known : new Role(entry.epoch(), nowNanos));
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
        return unresolvedAt != 0;
    }

    void updateSent() {
        unresolvedAt = version;
    }

    /** Returns whether this run has read the record from the platform and no update of it is unresolved. */
    boolean isSettled() {
        return fenced && !isUnresolved();
    }

    boolean hasBeenReadFromPlatform() {
        return fenced;
    }

    /** Returns whether this host has been the endpoint's successor under the same owner for so long. */
    boolean isSuccessorFor(Ownership entry, long nanos, long nowNanos) {
        Role role = roles.get(entry.endpoint());
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
