package io.carawaylift.testing.measure;

import io.carawaylift.decisions.membership.RegionMembers;
import io.carawaylift.decisions.ownership.Acknowledgement;
import io.carawaylift.decisions.ownership.LeaseDurations;
import io.carawaylift.decisions.ownership.OwnersWrite;
import io.carawaylift.decisions.ownership.OwnershipPlanner;
import io.carawaylift.decisions.ownership.TakeoverPolicy;
import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.Release;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Simulates the control program of one host, which relays heartbeats, reports members, plans ownership and takes over. */
final class SimulatedControl extends SimulatedProcess {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final SimulatedRegion region;
    private final String host;
    private final String domain;
    private final RegionMembers members;
    private final TakeoverPolicy takeover;
    private final Map<String, OwnershipPlanner> planners = new HashMap<>();
    private final Map<String, UnreliablePlatform.VersionedObject> knownRecords = new HashMap<>();
    private final Map<String, EndpointList> endpointLists = new HashMap<>();
    private final Set<EntryProcess> endedLocally = new LinkedHashSet<>();
    private MemberReport ownReport;

    SimulatedControl(SimulatedRegion region, String host, String domain, double rate, long offset) {
        super(region.events(), rate, offset);
        this.region = region;
        this.host = host;
        this.domain = domain;
        this.members = new RegionMembers(domain, SimulatedRegion.REGION, LeaseDurations.DEFAULT);
        this.takeover = new TakeoverPolicy(host, LeaseDurations.DEFAULT, clock());
        handleEvery(NANOS_PER_SECOND, this::tick);
        handleEvery(NANOS_PER_SECOND / 2, this::pollOwners);
        handleEvery(2 * NANOS_PER_SECOND, this::exchangeRecords);
    }

    /** Handles a heartbeat of this host's entry program and relays it to agents, the reporter and successors. */
    void entryHeartbeat(MemberReport report) {
        ownReport = report;
        members.heartbeatReceived(report, clock());
        Set<String> receivers = new LinkedHashSet<>(members.agents(domain, clock()));
        members.reporter(domain, clock()).ifPresent(receivers::add);
        receivers.addAll(successors(report.member().process()));
        receivers.remove(host);
        List<EntryProcess> ended = List.copyOf(endedLocally);
        for (String receiver : receivers) {
            members.replyExpected(receiver, clock());
            region.send(host, receiver, control -> control.heartbeat(host, domain, report, ended));
        }
    }

    void entryEnded(EntryProcess process) {
        endedLocally.add(process);
        ownReport = null;
        members.processEnded(domain, process);
    }

    void sendAllRecords() {
        knownRecords.forEach(this::push);
    }

    private Set<String> successors(EntryProcess owner) {
        Set<String> hosts = new LinkedHashSet<>();
        knownRecords.values().forEach(stored -> {
            for (Ownership entry : ((OwnersRecord) stored.value()).endpoints()) {
                if (entry.owner().equals(owner) && entry.successor() != null) {
                    hosts.add(entry.successor());
                }
            }
        });
        return hosts;
    }

    private void heartbeat(String from, String fromDomain, MemberReport report, List<EntryProcess> ended) {
        ended.forEach(process -> members.processEnded(fromDomain, process));
        members.heartbeatReceived(report, clock());
        Optional<Acknowledgement> ack =
                takeover.heartbeatReceived(report.member().process(), report.heartbeat(), clock());
        if (ack.isEmpty() && !region.isEnabled(SimulatedRule.NO_PROMISE_WHILE_UNRESOLVED)) {
            ack = Optional.of(new Acknowledgement(host, report.member().process(), report.heartbeat(), versions()));
        }
        Optional<Acknowledgement> acknowledgement = ack;
        region.send(host, from, control -> {
            control.members.replyReceived(host, control.clock());
            acknowledgement.ifPresent(control::acknowledged);
        });
    }

    private void acknowledged(Acknowledgement ack) {
        if (ownReport != null
                && ack.owner().equals(ownReport.member().process())
                && (ack.isCoveredBy(versions()) || !region.isEnabled(SimulatedRule.VERSIONS_OF_ACKNOWLEDGEMENT))) {
            region.sendToEntry(host, entry -> {
                if (entry.member().process().equals(ack.owner())) {
                    entry.successorAcknowledged(ack.successor(), ack.heartbeat());
                }
            });
        }
    }

    private Map<String, Long> versions() {
        Map<String, Long> versions = new HashMap<>();
        knownRecords.forEach((name, stored) -> versions.put(name, stored.version()));
        return versions;
    }

    private void recordRead(String name, UnreliablePlatform.VersionedObject stored, boolean fromPlatform) {
        OwnersRecord record = (OwnersRecord) stored.value();
        takeover.ownersRead(name, stored.version(), record, fromPlatform, clock());
        UnreliablePlatform.VersionedObject before = knownRecords.get(name);
        if (before == null || before.version() < stored.version()) {
            knownRecords.put(name, stored);
            members.ownersRead(record, clock());
            push(name, stored);
            if (members.agents(domain, clock()).contains(host)) {
                members.members(domain, clock())
                        .forEach(member -> region.send(
                                host, member.process().host(), control -> control.recordRead(name, stored, false)));
            }
        }
    }

    private void push(String name, UnreliablePlatform.VersionedObject stored) {
        region.sendToEntry(host, entry -> entry.ownersChanged(name, stored.version(), (OwnersRecord) stored.value()));
    }

    private void pollOwners() {
        boolean agent = members.agents(domain, clock()).contains(host);
        if ((agent || knownRecords.size() < SimulatedRegion.DOMAINS.size())
                && events().nowNanos() >= region.platform().faults().watchOutageUntilNanos) {
            for (String domainName : SimulatedRegion.DOMAINS) {
                readOwners(domainName);
            }
        }
    }

    private void readOwners(String domainName) {
        String name = RecordNames.owners(domainName);
        region.read(this, host, name, found -> found.ifPresent(stored -> recordRead(name, stored, true)));
    }

    private void exchangeRecords() {
        String peer = region.randomHost();
        Map<String, UnreliablePlatform.VersionedObject> copy = new TreeMap<>(knownRecords);
        region.send(host, peer, control -> copy.forEach((name, stored) -> control.recordRead(name, stored, false)));
    }

    private void tick() {
        for (String domainName : SimulatedRegion.DOMAINS) {
            region.read(
                    this,
                    host,
                    RecordNames.hosts(domainName),
                    found -> found.ifPresent(stored -> endpointLists.put(domainName, (EndpointList) stored.value())));
            long started = clock();
            region.read(this, host, RecordNames.domain(domainName), found -> domainRead(domainName, found, started));
        }
        SimulatedRegion.DOMAINS.stream()
                .filter(domainName -> takeover.isReadNeeded(RecordNames.owners(domainName)))
                .forEach(this::readOwners);
        List<OwnersWrite> writes = takeover.writesDue(
                ownReport == null ? null : ownReport.member(),
                members.live(clock()),
                process -> members.isTerminated(process, endpointLists.values()),
                clock());
        writes.forEach(this::writeTakeover);
    }

    private void writeTakeover(OwnersWrite write) {
        region.write(this, host, write.name(), write.record(), write.expectedVersion(), written -> {
            if (written.accepted()) {
                takeover.writeAccepted(write, written.version(), clock());
                recordRead(
                        write.name(), new UnreliablePlatform.VersionedObject(written.version(), write.record()), true);
            } else {
                readOwners(write.record().failureDomain());
            }
        });
    }

    private void domainRead(String domainName, Optional<UnreliablePlatform.VersionedObject> found, long started) {
        found.map(stored -> (DomainRecord) stored.value()).ifPresent(record -> {
            members.domainRead(record, clock());
            takeover.domainRead(record, started, clock());
        });
        if (members.reporter(domainName, clock()).equals(Optional.of(host))) {
            long version =
                    found.map(UnreliablePlatform.VersionedObject::version).orElse(0L);
            DomainRecord record = members.toWrite(domainName, host, clock());
            region.write(this, host, RecordNames.domain(domainName), record, version, written -> {
                if (written.accepted()) {
                    sendConfirmations(record);
                }
            });
            plan(domainName);
        }
    }

    private void sendConfirmations(DomainRecord record) {
        if (!region.isEnabled(SimulatedRule.OWNERS_READ_AFTER_WRITE)) {
            sendConfirmations(record, versions());
            return;
        }
        Map<String, Long> versions = new HashMap<>();
        for (String domainName : SimulatedRegion.DOMAINS) {
            String name = RecordNames.owners(domainName);
            region.read(this, host, name, found -> {
                found.ifPresent(stored -> versions.put(name, stored.version()));
                sendConfirmations(record, new TreeMap<>(versions));
            });
        }
    }

    private void sendConfirmations(DomainRecord record, Map<String, Long> versions) {
        for (MemberReport report : record.members()) {
            EntryProcess process = report.member().process();
            if (report.heartbeat() > 0) {
                region.send(
                        host,
                        process.host(),
                        control -> region.sendToEntry(process.host(), entry -> {
                            if (entry.member().process().equals(process)) {
                                entry.platformConfirmed(report.heartbeat(), versions);
                            }
                        }));
            }
        }
    }

    private void plan(String domainName) {
        String name = RecordNames.owners(domainName);
        region.read(this, host, name, owners -> {
            Map<String, EndpointList> fresh = new HashMap<>();
            for (String listed : SimulatedRegion.DOMAINS) {
                region.read(this, host, RecordNames.hosts(listed), found -> {
                    found.ifPresent(stored -> fresh.put(listed, (EndpointList) stored.value()));
                    if (fresh.size() == SimulatedRegion.DOMAINS.size()) {
                        plan(domainName, owners, new ArrayList<>(fresh.values()));
                    }
                });
            }
        });
    }

    private void plan(
            String domainName, Optional<UnreliablePlatform.VersionedObject> owners, List<EndpointList> fresh) {
        OwnershipPlanner planner = planners.computeIfAbsent(
                domainName, key -> new OwnershipPlanner(key, SimulatedRegion.REGION, LeaseDurations.DEFAULT));
        OwnersRecord current = (OwnersRecord)
                owners.map(UnreliablePlatform.VersionedObject::value).orElse(null);
        long version = owners.map(UnreliablePlatform.VersionedObject::version).orElse(0L);
        // Without the rule, the planner first sees the record 1000 s earlier, so that every entry counts as old.
        long clock = clock();
        if (!region.isEnabled(SimulatedRule.WAIT_FOR_FORGOTTEN_OWNERS) && current != null) {
            planner.plan(version, current, fresh, members, region.table(), clock - 1_000 * NANOS_PER_SECOND);
        }
        RegionMembers view = region.isEnabled(SimulatedRule.EPOCH_OF_RELEASE) ? members : withCurrentEpochs(current);
        planner.plan(version, current, fresh, view, region.table(), clock)
                .ifPresent(write ->
                        region.write(this, host, write.name(), write.record(), write.expectedVersion(), written -> {}));
    }

    /** Returns the members with each release changed to the current epoch, as if releases carried no epoch. */
    private RegionMembers withCurrentEpochs(OwnersRecord current) {
        RegionMembers view = new RegionMembers(domain, SimulatedRegion.REGION, LeaseDurations.DEFAULT);
        for (Member member : members.live(clock())) {
            members.report(member.process()).ifPresent(report -> {
                List<Release> released = report.released().stream()
                        .flatMap(release -> current == null
                                ? Stream.<Ownership>empty()
                                : current.ownership(release.endpoint()).stream())
                        .map(entry -> new Release(entry.endpoint(), entry.epoch()))
                        .toList();
                view.heartbeatReceived(new MemberReport(member, report.heartbeat(), 1, released, List.of()), clock());
            });
        }
        return view;
    }
}
