package io.carawaylift.decisions.ownership;

import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Decides for the control program of one host when it acknowledges heartbeats as a successor and when it takes over
 * endpoints. Times are monotonic nanoseconds of one clock. Not thread-safe.
 *
 * <p>The control program must pass every newer {@code owners/} record to this policy before it sends the record to its
 * entry program: the entry program's wait after a takeover assumes that acknowledgements have ended by then.
 */
public final class TakeoverPolicy {
    private final String host;
    private final LeaseDurations durations;
    private final long startNanos;
    private final Map<String, KnownOwnersRecord> records = new TreeMap<>();
    private final Map<EntryProcess, Long> lastContactNanos = new HashMap<>();
    private final HeartbeatTracker heartbeatTracker = new HeartbeatTracker();

    /** Creates the policy of a control program that started at {@code startNanos}; {@code host} is its own host id. */
    public TakeoverPolicy(String host, LeaseDurations durations, long startNanos) {
        this.host = host;
        this.durations = durations;
        this.startNanos = startNanos;
    }

    /**
     * Updates to a record {@code owners/} of this region; an older version is ignored.
     *
     * @param fromPlatform whether the control program read it from the platform itself rather than from a peer; nothing
     *     is acknowledged for a record before its first such read
     */
    public void ownersRead(String name, long version, OwnersRecord record, boolean fromPlatform, long nowNanos) {
        records.computeIfAbsent(name, absent -> new KnownOwnersRecord(host))
                .update(version, record, fromPlatform, nowNanos);
        Set<EntryProcess> owners = watchedOwners();
        lastContactNanos.keySet().retainAll(owners);
        heartbeatTracker.retain(owners);
    }

    /**
     * Processes a record {@code domain/} read from the platform.
     *
     * @param startedNanos when the read was sent
     * @param finishedNanos when the response arrived
     */
    public void domainRead(DomainRecord record, long startedNanos, long finishedNanos) {
        Map<EntryProcess, Long> heartbeats = new HashMap<>();
        for (MemberReport report : record.members()) {
            heartbeats.put(report.member().process(), report.heartbeat());
        }
        Set<EntryProcess> members = membersOf(record.failureDomain());
        for (EntryProcess owner : watchedOwners()) {
            if (members.contains(owner) || heartbeats.containsKey(owner)) {
                heartbeatTracker.read(owner, heartbeats.getOrDefault(owner, 0L), startedNanos, finishedNanos);
            }
        }
    }

    /**
     * Processes a heartbeat relayed by another host's control program. Returns the acknowledgement to send back, empty
     * if this host is not a successor of the process or must not give a guarantee now.
     */
    public Optional<Acknowledgement> heartbeatReceived(EntryProcess owner, long heartbeat, long nowNanos) {
        if (records.values().stream().noneMatch(known -> known.isSuccessorOf(owner))) {
            return Optional.empty();
        }
        lastContactNanos.put(owner, nowNanos);
        if (records.values().stream().anyMatch(KnownOwnersRecord::isUnresolved)) {
            return Optional.empty();
        }
        Map<String, Long> versions = new HashMap<>();
        records.forEach((name, known) -> {
            if (known.isSettled()) {
                versions.put(name, known.version());
            }
        });
        return Optional.of(new Acknowledgement(host, owner, heartbeat, versions));
    }

    /**
     * Returns the conditional updates to send now, at most one per record: takeovers, resignations of a host that is
     * draining, and rewrites that settle an earlier update whose response was lost. Each counts as unresolved from now
     * on. Call this once per heartbeat interval.
     *
     * @param self entry process of this host with its state, null if it is not running
     * @param live live members of the region, candidates for successor
     * @param terminated whether a process is confirmed terminated
     */
    public List<OwnersWrite> writesDue(
            Member self, List<Member> live, Predicate<EntryProcess> terminated, long nowNanos) {
        List<OwnersWrite> writes = new ArrayList<>();
        records.forEach((name, known) -> {
            if (known.hasBeenReadFromPlatform()) {
                OwnersRecord desired = desired(known, self, live, terminated, nowNanos);
                if (known.isUnresolved() || !desired.equals(known.record())) {
                    OwnersValidator.validate(known.record(), desired);
                    known.updateSent();
                    writes.add(new OwnersWrite(name, known.version(), desired));
                }
            }
        });
        return writes;
    }

    /**
     * Settles an update that the platform accepted, by {@link #ownersRead} with the new version. An update that failed
     * with {@code VERSION_CONFLICT} is settled by {@link #ownersRead} with the newer version alone. One without a
     * response stays unresolved and is retried by {@link #writesDue}.
     */
    public void writeAccepted(OwnersWrite write, long newVersion, long nowNanos) {
        ownersRead(write.name(), newVersion, write.record(), true, nowNanos);
    }

    /**
     * Returns whether the control program must read this record from the platform: this run has not read it yet, or an
     * update of it is unresolved. Acknowledgements are of use only after that read of every record of the region.
     */
    public boolean isReadNeeded(String name) {
        KnownOwnersRecord known = records.get(name);
        return known == null || !known.isSettled();
    }

    /** Returns whether an update of this record is unresolved. */
    public boolean isUnresolved(String name) {
        KnownOwnersRecord known = records.get(name);
        return known != null && known.isUnresolved();
    }

    private OwnersRecord desired(
            KnownOwnersRecord known,
            Member self,
            List<Member> live,
            Predicate<EntryProcess> terminated,
            long nowNanos) {
        OwnersRecord record = known.record();
        SuccessorSelector choice = new SuccessorSelector(live);
        record.endpoints().forEach(entry -> choice.countRole(entry.successor()));
        List<Ownership> endpoints = new ArrayList<>();
        for (Ownership entry : record.endpoints()) {
            if (!host.equals(entry.successor())) {
                endpoints.add(entry);
            } else if (self != null && isTakeoverDue(known, entry, self, nowNanos)) {
                endpoints.add(takenOver(known, entry, self, choice, terminated));
            } else {
                endpoints.add(resignedIfDue(entry, self, live, choice));
            }
        }
        return new OwnersRecord(record.failureDomain(), record.region(), record.members(), endpoints);
    }

    private boolean isTakeoverDue(KnownOwnersRecord known, Ownership entry, Member self, long nowNanos) {
        long silenceNanos = durations.leaseNanos() + durations.clockMarginNanos();
        Long lastContact = lastContactNanos.get(entry.owner());
        return self.state() == MemberState.ACTIVE
                && nowNanos - startNanos >= silenceNanos
                && known.isSuccessorFor(entry, silenceNanos, nowNanos)
                && (lastContact == null || nowNanos - lastContact >= silenceNanos)
                && heartbeatTracker.isUnchangedFor(entry.owner(), silenceNanos);
    }

    private Ownership takenOver(
            KnownOwnersRecord known,
            Ownership entry,
            Member self,
            SuccessorSelector choice,
            Predicate<EntryProcess> terminated) {
        EntryProcess previous = previousOwnerAfterTakeover(entry, self.process(), terminated);
        List<String> excluded = new ArrayList<>(List.of(host, entry.owner().host()));
        return new Ownership(
                entry.endpoint(),
                self.process(),
                choice.choose(self.failureDomain(), excluded),
                known.version() + 1,
                previous == null ? OwnershipMode.FULL : OwnershipMode.HALF,
                true,
                previous,
                null);
    }

    /**
     * Returns the process that may still use half of the slots. If the owner itself had only half because of an earlier
     * owner, it has none without a confirmed lease, and the earlier owner remains the one to wait for.
     */
    private static EntryProcess previousOwnerAfterTakeover(
            Ownership entry, EntryProcess self, Predicate<EntryProcess> terminated) {
        if (entry.mode() == OwnershipMode.HALF && !entry.previous().equals(self)) {
            return entry.previous();
        }
        if (entry.mode() == OwnershipMode.FULL && terminated.test(entry.owner())) {
            return null;
        }
        return entry.owner();
    }

    /**
     * Passes the role to another host if this host is draining, or if it would fail together with the owner and a
     * candidate outside their failure domain exists.
     */
    private Ownership resignedIfDue(Ownership entry, Member self, List<Member> live, SuccessorSelector choice) {
        if (self == null) {
            return entry;
        }
        List<String> excluded = List.of(host, entry.owner().host());
        String ownerDomain = domainOf(entry.owner(), live);
        boolean draining = self.state() == MemberState.LEAVING;
        boolean outsideCandidatePreferred =
                self.failureDomain().equals(ownerDomain) && choice.hasCandidateOutside(ownerDomain, excluded);
        if (!draining && !outsideCandidatePreferred) {
            return entry;
        }
        return new Ownership(
                entry.endpoint(),
                entry.owner(),
                choice.choose(ownerDomain, excluded),
                entry.epoch(),
                entry.mode(),
                entry.takenOver(),
                entry.previous(),
                entry.next());
    }

    private static String domainOf(EntryProcess process, List<Member> live) {
        return live.stream()
                .filter(member -> member.process().equals(process))
                .map(Member::failureDomain)
                .findFirst()
                .orElse(null);
    }

    private Set<EntryProcess> watchedOwners() {
        Set<EntryProcess> owners = new HashSet<>();
        records.values().forEach(known -> known.addOwners(owners));
        return owners;
    }

    private Set<EntryProcess> membersOf(String failureDomain) {
        Set<EntryProcess> members = new HashSet<>();
        for (KnownOwnersRecord known : records.values()) {
            for (Member member : known.record().members()) {
                if (member.failureDomain().equals(failureDomain)) {
                    members.add(member.process());
                }
            }
        }
        return members;
    }
}
