package io.carawaylift.testing.measure;

import io.carawaylift.loadmodel.EventQueue;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.Rank;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.RegionRow;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Simulates one region with hosts, endpoints, a network and the platform in virtual time. A seed determines the run. */
final class SimulatedRegion {
    static final String REGION = "r1";
    static final List<String> DOMAINS = List.of("fd1", "fd2");
    /** Longest deadline of a request to the service. */
    static final long MAX_DEADLINE_NANOS = 3_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int ENDPOINTS_PER_DOMAIN = 3;
    private static final int[] SLOTS = {3, 4, 5};
    /**
     * Largest deviation of a clock rate from 1. Over lease, clock margin and longest deadline (10 s in all) two clocks
     * differ by less than 0.9 s, which the clock margin of 1 s covers.
     */
    private static final double MAX_CLOCK_DRIFT_FRACTION = 0.045;

    private final EventQueue events = new EventQueue();
    private final Random random;
    private final EnumSet<SimulatedRule> enabledRules;
    private final UnreliablePlatform platform;
    private final Table table = newTable();
    private final Map<String, SlotCheckingEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, SimulatedControl> controls = new TreeMap<>();
    private final Map<String, SimulatedEntry> entries = new TreeMap<>();
    private final Map<String, String> domainOf = new TreeMap<>();
    private final Map<String, Integer> partitions = new TreeMap<>();
    private final Set<String> disconnectedFromPlatform = new HashSet<>();
    private final Map<String, Long> epochs = new TreeMap<>();
    private double messageLossRate;
    private int hostsStarted;

    SimulatedRegion(long seed, Set<SimulatedRule> disabled) {
        this.random = new Random(seed);
        this.enabledRules = EnumSet.allOf(SimulatedRule.class);
        this.enabledRules.removeAll(disabled);
        this.platform = new UnreliablePlatform(events, random, new UnreliablePlatform.Faults());
        for (String domain : DOMAINS) {
            for (int i = 0; i < ENDPOINTS_PER_DOMAIN; i++) {
                String id = domain + "-e" + i;
                endpoints.put(id, new SlotCheckingEndpoint(new Endpoint(id, domain + "-up", "", SLOTS[i], 100, false)));
            }
            platform.put(RecordNames.hosts(domain), new EndpointList(domain, REGION, endpointsOf(domain), List.of()));
        }
        for (int i = 0; i < 5; i++) {
            startHost(DOMAINS.get(i % 2));
        }
    }

    private static Table newTable() {
        Table.Builder builder = Table.builder()
                .put(new RegionRow(REGION, 1, 0))
                .put(new ServiceRow("svc", Rank.STANDARD, List.of("GET"), MAX_DEADLINE_NANOS / NANOS_PER_MILLI));
        for (String domain : DOMAINS) {
            builder.put(new UpstreamRow(domain + "-up", "svc", REGION, domain, 1, 0, false));
        }
        return builder.build();
    }

    EventQueue events() {
        return events;
    }

    UnreliablePlatform platform() {
        return platform;
    }

    Table table() {
        return table;
    }

    Random random() {
        return random;
    }

    boolean isEnabled(SimulatedRule rule) {
        return enabledRules.contains(rule);
    }

    SlotCheckingEndpoint endpoint(String id) {
        return endpoints.get(id);
    }

    Collection<SlotCheckingEndpoint> endpoints() {
        return endpoints.values();
    }

    List<String> hosts() {
        return List.copyOf(domainOf.keySet());
    }

    String randomHost() {
        List<String> hosts = hosts();
        return hosts.get(random.nextInt(hosts.size()));
    }

    /** Returns the longest deadline in three of four cases, otherwise a random duration up to it. */
    long randomRequestDuration() {
        return random.nextInt(4) == 0 ? (long) (random.nextDouble() * MAX_DEADLINE_NANOS) : MAX_DEADLINE_NANOS;
    }

    // Hosts

    void startHost(String domain) {
        String host = String.format("h%03d", hostsStarted++);
        domainOf.put(host, domain);
        startControl(host);
        startEntry(host, 1);
        updateHostList(domain, host, true, random.nextInt(3_000) * NANOS_PER_MILLI);
    }

    private void updateHostList(String domain, String host, boolean add, long delayNanos) {
        events.schedule(delayNanos, () -> {
            EndpointList old = (EndpointList)
                    platform.current(RecordNames.hosts(domain)).orElseThrow().value();
            List<String> hosts = new ArrayList<>(old.entryHosts());
            hosts.remove(host);
            if (add) {
                hosts.add(host);
            }
            platform.put(RecordNames.hosts(domain), new EndpointList(domain, REGION, old.endpoints(), hosts));
        });
    }

    private void startControl(String host) {
        controls.put(
                host, new SimulatedControl(this, host, domainOf.get(host), randomClockRate(), randomClockOffset()));
    }

    private void startEntry(String host, long incarnation) {
        Member member = new Member(
                new EntryProcess(host, incarnation),
                REGION,
                domainOf.get(host),
                "",
                "",
                "",
                "",
                "",
                MemberState.ACTIVE);
        entries.put(host, new SimulatedEntry(this, member, randomClockRate(), randomClockOffset()));
        sendToControl(host, SimulatedControl::sendAllRecords);
    }

    private double randomClockRate() {
        return 1 + MAX_CLOCK_DRIFT_FRACTION * (2 * random.nextDouble() - 1);
    }

    private long randomClockOffset() {
        return random.nextInt(1_000_000) * NANOS_PER_MILLI;
    }

    void restartEntry(String host) {
        SimulatedEntry old = entries.get(host);
        old.terminate();
        EntryProcess process = old.member().process();
        sendToControl(host, control -> control.entryEnded(process));
        long downtimeNanos = random.nextInt(15_000) * NANOS_PER_MILLI;
        events.schedule(downtimeNanos, () -> {
            if (domainOf.containsKey(host) && entries.get(host) == old) {
                startEntry(host, process.incarnation() + 1);
            }
        });
    }

    void restartControl(String host) {
        SimulatedControl old = controls.get(host);
        old.terminate();
        long downtimeNanos = random.nextInt(12_000) * NANOS_PER_MILLI;
        events.schedule(downtimeNanos, () -> {
            if (domainOf.containsKey(host) && controls.get(host) == old) {
                startControl(host);
            }
        });
    }

    void restartHost(String host) {
        SimulatedEntry entry = entries.get(host);
        entry.terminate();
        restartControl(host);
        long downtimeNanos = random.nextInt(15_000) * NANOS_PER_MILLI;
        events.schedule(downtimeNanos, () -> {
            if (domainOf.containsKey(host) && entries.get(host) == entry) {
                startEntry(host, entry.member().process().incarnation() + 1);
            }
        });
    }

    void replaceHost(String host) {
        String domain = domainOf.remove(host);
        controls.remove(host).terminate();
        entries.remove(host).terminate();
        updateHostList(domain, host, false, (3_500 + random.nextInt(25_000)) * NANOS_PER_MILLI);
        startHost(domain);
    }

    void pauseEntry(String host, long durationNanos) {
        entries.get(host).pause(durationNanos);
    }

    void pauseControl(String host, long durationNanos) {
        controls.get(host).pause(durationNanos);
    }

    /** Drains a host gracefully; 20 s later restarts it if it is still draining. */
    void drain(String host) {
        entries.get(host).drain();
        events.schedule(20_000 * NANOS_PER_MILLI, () -> {
            if (domainOf.containsKey(host) && entries.get(host).member().state() == MemberState.LEAVING) {
                restartHost(host);
            }
        });
    }

    // Network

    void partition(String host, int partitionNumber) {
        partitions.put(host, partitionNumber);
    }

    void disconnectFromPlatform(String host) {
        disconnectedFromPlatform.add(host);
    }

    void messageLossRate(double rate) {
        messageLossRate = rate;
    }

    void heal() {
        partitions.clear();
        disconnectedFromPlatform.clear();
        messageLossRate = 0;
        platform.faults().lossRate = 0;
        platform.faults().lateRate = 0;
        platform.faults().outageUntilNanos = 0;
        platform.faults().watchOutageUntilNanos = 0;
    }

    /** Sends a message between control programs, which may be lost, duplicated or reordered. */
    void send(String from, String to, Consumer<SimulatedControl> message) {
        if (!partitions.getOrDefault(from, 0).equals(partitions.getOrDefault(to, 0))
                || random.nextDouble() < messageLossRate) {
            return;
        }
        int copies = random.nextInt(50) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean slow = random.nextInt(100) == 0;
            long delayNanos =
                    slow ? random.nextInt(8_000) * NANOS_PER_MILLI : (1 + random.nextInt(20)) * NANOS_PER_MILLI;
            SimulatedControl receiver = controls.get(to);
            if (receiver != null) {
                receiver.handleAfter(delayNanos, () -> message.accept(receiver));
            }
        }
    }

    /** Sends a message to the control program of a host over their local connection, which preserves the order. */
    void sendToControl(String host, Consumer<SimulatedControl> message) {
        SimulatedControl control = controls.get(host);
        if (control != null) {
            control.handleAfter(NANOS_PER_MILLI, () -> message.accept(control));
        }
    }

    /** Sends a message to the entry program of a host over their local connection, which preserves the order. */
    void sendToEntry(String host, Consumer<SimulatedEntry> message) {
        SimulatedEntry entry = entries.get(host);
        if (entry != null) {
            entry.handleAfter(NANOS_PER_MILLI, () -> message.accept(entry));
        }
    }

    void read(
            SimulatedProcess caller,
            String host,
            String name,
            Consumer<Optional<UnreliablePlatform.VersionedObject>> callback) {
        if (!disconnectedFromPlatform.contains(host)) {
            platform.read(caller, name, callback);
        }
    }

    void write(
            SimulatedProcess caller,
            String host,
            String name,
            Object value,
            long expected,
            Consumer<UnreliablePlatform.WriteResult> callback) {
        if (!disconnectedFromPlatform.contains(host)) {
            platform.write(caller, name, value, expected, callback);
        }
    }

    // Checks

    private List<Endpoint> endpointsOf(String domain) {
        return endpoints.values().stream()
                .map(SlotCheckingEndpoint::endpoint)
                .filter(endpoint -> endpoint.upstream().equals(domain + "-up"))
                .toList();
    }

    /** Throws {@link CarawayliftException} if the epoch of an endpoint has decreased. */
    void checkEpochs() {
        for (String domain : DOMAINS) {
            platform.current(RecordNames.owners(domain))
                    .map(stored -> (OwnersRecord) stored.value())
                    .ifPresent(record -> record.endpoints().forEach(this::checkEpoch));
        }
    }

    private void checkEpoch(Ownership entry) {
        Long before = epochs.put(entry.endpoint(), entry.epoch());
        if (before != null && before > entry.epoch()) {
            throw new CarawayliftException(ResultCode.INVARIANT_VIOLATED, "epoch decreased: " + entry);
        }
    }

    /** Returns the endpoints whose owner currently may not use all slots, each with its ownership entry. */
    List<String> notFullyServed() {
        List<String> notServed = new ArrayList<>();
        for (String domain : DOMAINS) {
            OwnersRecord record = (OwnersRecord) platform.current(RecordNames.owners(domain))
                    .map(UnreliablePlatform.VersionedObject::value)
                    .orElse(new OwnersRecord(domain, REGION, List.of(), List.of()));
            for (Endpoint endpoint : endpointsOf(domain)) {
                Optional<Ownership> entry = record.ownership(endpoint.id());
                if (entry.isEmpty() || !isFullyServed(endpoint, entry.get())) {
                    notServed.add(endpoint.id() + " " + entry);
                }
            }
        }
        return notServed;
    }

    private boolean isFullyServed(Endpoint endpoint, Ownership entry) {
        SimulatedEntry owner = entries.get(entry.owner().host());
        return owner != null
                && owner.member().process().equals(entry.owner())
                && owner.permittedSlots(endpoint.id(), endpoint.slots()) == endpoint.slots();
    }
}
