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

/** Control program of one host: relays heartbeats, reports, plans and takes over. */
final class SimulatedControl extends SimulatedProcess {
    private static final long SECOND = 1_000_000_000L;

    private final OwnershipWorld world;
    private final String host;
    private final String domain;
    private final RegionMembers members;
    private final TakeoverPolicy takeover;
    private final Map<String, OwnershipPlanner> planners = new HashMap<>();
    private final Map<String, SimulatedPlatform.Stored> known = new HashMap<>();
    private final Map<String, EndpointList> lists = new HashMap<>();
    private final Set<EntryProcess> endedHere = new LinkedHashSet<>();
    private MemberReport own;

    SimulatedControl(OwnershipWorld world, String host, String domain, double rate, long offset) {
        super(world.events(), rate, offset);
        this.world = world;
        this.host = host;
        this.domain = domain;
        this.members = new RegionMembers(domain, OwnershipWorld.REGION, LeaseDurations.DEFAULT);
        this.takeover = new TakeoverPolicy(host, LeaseDurations.DEFAULT, clock());
        handleEvery(SECOND, this::tick);
        handleEvery(SECOND / 2, this::watch);
        handleEvery(2 * SECOND, this::exchange);
    }

    /** A heartbeat of this host's entry program arrived. */
    void entryHeartbeat(MemberReport report) {
        own = report;
        members.heartbeatReceived(report, clock());
        Set<String> receivers = new LinkedHashSet<>(members.agents(domain, clock()));
        members.reporter(domain, clock()).ifPresent(receivers::add);
        receivers.addAll(successors(report.member().process()));
        receivers.remove(host);
        List<EntryProcess> ended = List.copyOf(endedHere);
        for (String receiver : receivers) {
            members.replyExpected(receiver, clock());
            world.send(host, receiver, control -> control.heartbeat(host, domain, report, ended));
        }
    }

    void entryEnded(EntryProcess process) {
        endedHere.add(process);
        own = null;
        members.processEnded(domain, process);
    }

    void sendAllRecords() {
        known.forEach(this::push);
    }

    private Set<String> successors(EntryProcess owner) {
        Set<String> hosts = new LinkedHashSet<>();
        known.values().forEach(stored -> {
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
        if (ack.isEmpty() && !world.has(SimulatedRule.NO_PROMISE_WHILE_UNRESOLVED)) {
            ack = Optional.of(new Acknowledgement(host, report.member().process(), report.heartbeat(), versions()));
        }
        Optional<Acknowledgement> promise = ack;
        world.send(host, from, control -> {
            control.members.replyReceived(host, control.clock());
            promise.ifPresent(control::acknowledged);
        });
    }

    private void acknowledged(Acknowledgement ack) {
        if (own != null
                && ack.owner().equals(own.member().process())
                && (ack.isCoveredBy(versions()) || !world.has(SimulatedRule.VERSIONS_OF_ACKNOWLEDGEMENT))) {
            world.toEntry(host, entry -> {
                if (entry.member().process().equals(ack.owner())) {
                    entry.successorAcknowledged(ack.successor(), ack.heartbeat());
                }
            });
        }
    }

    private Map<String, Long> versions() {
        Map<String, Long> versions = new HashMap<>();
        known.forEach((name, stored) -> versions.put(name, stored.version()));
        return versions;
    }

    private void learn(String name, SimulatedPlatform.Stored stored, boolean fromPlatform) {
        OwnersRecord record = (OwnersRecord) stored.value();
        takeover.ownersRead(name, stored.version(), record, fromPlatform, clock());
        SimulatedPlatform.Stored before = known.get(name);
        if (before == null || before.version() < stored.version()) {
            known.put(name, stored);
            members.ownersRead(record, clock());
            push(name, stored);
            if (members.agents(domain, clock()).contains(host)) {
                members.members(domain, clock())
                        .forEach(member -> world.send(
                                host, member.process().host(), control -> control.learn(name, stored, false)));
            }
        }
    }

    private void push(String name, SimulatedPlatform.Stored stored) {
        world.toEntry(host, entry -> entry.ownersChanged(name, stored.version(), (OwnersRecord) stored.value()));
    }

    private void watch() {
        boolean agent = members.agents(domain, clock()).contains(host);
        if ((agent || known.size() < OwnershipWorld.DOMAINS.size())
                && events().now() >= world.platform().faults().watchDownUntil) {
            for (String each : OwnershipWorld.DOMAINS) {
                readOwners(each);
            }
        }
    }

    private void readOwners(String each) {
        String name = RecordNames.owners(each);
        world.read(this, host, name, found -> found.ifPresent(stored -> learn(name, stored, true)));
    }

    private void exchange() {
        String peer = world.randomHost();
        Map<String, SimulatedPlatform.Stored> copy = new TreeMap<>(known);
        world.send(host, peer, control -> copy.forEach((name, stored) -> control.learn(name, stored, false)));
    }

    private void tick() {
        for (String each : OwnershipWorld.DOMAINS) {
            world.read(
                    this,
                    host,
                    RecordNames.hosts(each),
                    found -> found.ifPresent(stored -> lists.put(each, (EndpointList) stored.value())));
            long started = clock();
            world.read(this, host, RecordNames.domain(each), found -> domainRead(each, found, started));
        }
        OwnershipWorld.DOMAINS.stream()
                .filter(each -> takeover.isReadNeeded(RecordNames.owners(each)))
                .forEach(this::readOwners);
        List<OwnersWrite> writes = takeover.writesDue(
                own == null ? null : own.member(),
                members.live(clock()),
                process -> members.isTerminated(process, lists.values()),
                clock());
        writes.forEach(this::writeTakeover);
    }

    private void writeTakeover(OwnersWrite write) {
        world.write(this, host, write.name(), write.record(), write.expectedVersion(), written -> {
            if (written.accepted()) {
                takeover.writeAccepted(write, written.version(), clock());
                learn(write.name(), new SimulatedPlatform.Stored(written.version(), write.record()), true);
            } else {
                readOwners(write.record().failureDomain());
            }
        });
    }

    private void domainRead(String each, Optional<SimulatedPlatform.Stored> found, long started) {
        found.map(stored -> (DomainRecord) stored.value()).ifPresent(record -> {
            members.domainRead(record, clock());
            takeover.domainRead(record, started, clock());
        });
        if (members.reporter(each, clock()).equals(Optional.of(host))) {
            long version = found.map(SimulatedPlatform.Stored::version).orElse(0L);
            DomainRecord record = members.toWrite(each, host, clock());
            world.write(this, host, RecordNames.domain(each), record, version, written -> {
                if (written.accepted()) {
                    confirm(record);
                }
            });
            plan(each);
        }
    }

    private void confirm(DomainRecord record) {
        if (!world.has(SimulatedRule.OWNERS_READ_AFTER_WRITE)) {
            confirm(record, versions());
            return;
        }
        Map<String, Long> versions = new HashMap<>();
        for (String each : OwnershipWorld.DOMAINS) {
            String name = RecordNames.owners(each);
            world.read(this, host, name, found -> {
                found.ifPresent(stored -> versions.put(name, stored.version()));
                confirm(record, new TreeMap<>(versions));
            });
        }
    }

    private void confirm(DomainRecord record, Map<String, Long> versions) {
        for (MemberReport report : record.members()) {
            EntryProcess process = report.member().process();
            if (report.heartbeat() > 0) {
                world.send(
                        host,
                        process.host(),
                        control -> world.toEntry(process.host(), entry -> {
                            if (entry.member().process().equals(process)) {
                                entry.platformConfirmed(report.heartbeat(), versions);
                            }
                        }));
            }
        }
    }

    private void plan(String each) {
        String name = RecordNames.owners(each);
        world.read(this, host, name, owners -> {
            Map<String, EndpointList> fresh = new HashMap<>();
            for (String listed : OwnershipWorld.DOMAINS) {
                world.read(this, host, RecordNames.hosts(listed), found -> {
                    found.ifPresent(stored -> fresh.put(listed, (EndpointList) stored.value()));
                    if (fresh.size() == OwnershipWorld.DOMAINS.size()) {
                        plan(each, owners, new ArrayList<>(fresh.values()));
                    }
                });
            }
        });
    }

    private void plan(String each, Optional<SimulatedPlatform.Stored> owners, List<EndpointList> fresh) {
        OwnershipPlanner planner = planners.computeIfAbsent(
                each, key -> new OwnershipPlanner(key, OwnershipWorld.REGION, LeaseDurations.DEFAULT));
        OwnersRecord current =
                (OwnersRecord) owners.map(SimulatedPlatform.Stored::value).orElse(null);
        long version = owners.map(SimulatedPlatform.Stored::version).orElse(0L);
        // Without the rule, a planner believes that every entry has been seen for long.
        long clock = clock();
        if (!world.has(SimulatedRule.WAIT_FOR_FORGOTTEN_OWNERS) && current != null) {
            planner.plan(version, current, fresh, members, world.table(), clock - 1_000 * SECOND);
        }
        RegionMembers view = world.has(SimulatedRule.EPOCH_OF_RELEASE) ? members : withPresentEpochs(current);
        planner.plan(version, current, fresh, view, world.table(), clock)
                .ifPresent(write ->
                        world.write(this, host, write.name(), write.record(), write.expectedVersion(), written -> {}));
    }

    /** Returns the members with each release restated for the present epoch, as bare endpoint ids would be read. */
    private RegionMembers withPresentEpochs(OwnersRecord current) {
        RegionMembers view = new RegionMembers(domain, OwnershipWorld.REGION, LeaseDurations.DEFAULT);
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
