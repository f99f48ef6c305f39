package io.carawaylift.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.carawaylift.decisions.ownership.LeaseDurations;
import io.carawaylift.model.AcceptedTable;
import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import io.carawaylift.model.Rank;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.RegionRow;
import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;
import io.carawaylift.runtime.Settings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs several control programs on loopback: hosts a1 and a2 in failure domain fd-a, b1 in fd-b, one region. */
final class ControlClusterTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final LeaseDurations DURATIONS =
            new LeaseDurations(100 * NANOS_PER_MILLI, 1_500 * NANOS_PER_MILLI, 300 * NANOS_PER_MILLI);
    private static final long TIMEOUT_SECONDS = 40;
    private static final String REGION = "huye";

    private final InMemoryPlatform platform = new InMemoryPlatform();
    private final Map<String, Host> hosts = new TreeMap<>();

    @BeforeEach
    void start() throws IOException {
        platform.put(RecordNames.hosts("fd-a"), endpoints("fd-a", "a1", "a2"));
        platform.put(RecordNames.hosts("fd-b"), endpoints("fd-b", "b1", "b2"));
        platform.put(RecordNames.TABLE, table(1));
        startHost("a1", "fd-a");
        startHost("a2", "fd-a");
        startHost("b1", "fd-b");
    }

    @AfterEach
    void stop() {
        hosts.values().forEach(Host::stop);
        platform.close();
    }

    @Test
    void ownersArePlannedAndEveryHeartbeatIsConfirmedAndAcknowledged() {
        awaitOwners(
                "fd-a",
                record -> record.members().size() == 2
                        && record.endpoints().size() == 2
                        && record.endpoints().stream().allMatch(entry -> "b1".equals(entry.successor())));
        awaitOwners(
                "fd-b",
                record -> record.endpoints().size() == 2
                        && record.endpoints().stream()
                                .allMatch(entry -> entry.owner().host().equals("b1")));
        for (Host host : hosts.values()) {
            await(host.id + " is synchronized", host.entry::isSynchronized);
            long sent = host.entry.lastHeartbeat();
            await(host.id + " is confirmed", () -> host.entry.lastConfirmed() > sent);
        }
        awaitAcknowledged();
        assertThat(host("a1").service.status().read().roles().reporterOf()).containsExactly("fd-a");
        assertThat(host("a2").service.status().read().roles().agent()).isTrue();
    }

    @Test
    void operatorsSeeRolesVersionsAndMetrics() throws IOException, InterruptedException {
        awaitOwnersPlanned();
        String status = host("a1").page("/status");
        assertThat(status).contains("\"reporterOf\" : [\n\"fd-a\"");
        assertThat(status).contains("\"table\" : 1");
        assertThat(status).contains("\"bytesSent\"");

        String metrics = host("a1").page("/metrics");
        assertThat(metrics).contains("carawaylift_platform_calls_total{kind=\"watch\"}");
        assertThat(metrics).contains("carawaylift_peer_bytes_total{direction=\"sent\"}");
        assertThat(metrics).contains("carawaylift_table_version 1.0");
        assertThat(metrics).contains("carawaylift_table_push_seconds_count 1");
    }

    /** Guards against a host that receives a new table only if it can reach the platform itself. */
    @Test
    void aTableReachesAllHostsEvenIfSomeCannotReachThePlatform() {
        awaitOwnersPlanned();
        platform.put(RecordNames.TABLE, table(2));
        hosts.values().forEach(host -> await(host.id + " has table 2", () -> host.entry.version("table") == 2));

        host("b1").gate.setOpen(false);
        platform.put(RecordNames.TABLE, table(3));
        hosts.values().forEach(host -> await(host.id + " has table 3", () -> host.entry.version("table") == 3));
    }

    /** Guards against owners that lose their slots and hosts that cannot start while the platform is unavailable. */
    @Test
    void duringAnOutageHeartbeatsAreAcknowledgedAndAHostStartsFromItsPeers() throws IOException {
        awaitOwnersPlanned();
        hosts.values().forEach(host -> host.gate.setOpen(false));
        for (Host host : hosts.values()) {
            await(host.id + " lost the platform", () -> failedWrites(host) > 0 || !isReporter(host));
        }
        awaitAcknowledged();

        Host joined = startHost("b2", "fd-b", false);
        await("b2 is synchronized", joined.entry::isSynchronized);
        assertThat(joined.entry.version(RecordNames.TABLE)).isEqualTo(1);
        assertThat(joined.gate.passed()).isEqualTo(0);

        hosts.values().forEach(host -> host.gate.setOpen(true));
        awaitOwners("fd-b", record -> record.members().size() == 2);
        long sent = host("a1").entry.lastHeartbeat();
        await("a1 is confirmed again", () -> host("a1").entry.lastConfirmed() > sent);
    }

    /** Guards against an unresponsive host that is still returned by lookups, and against loss of its endpoints. */
    @Test
    void anUnresponsiveHostIsSuspectedAndItsEndpointsAreTakenOverWithHalfTheSlots() {
        awaitOwnersPlanned();
        EntryProcess owner = host("b1").entry.process();

        host("b1").stop();

        awaitOwners(
                "fd-b",
                record -> record.members().stream()
                        .anyMatch(member -> member.process().equals(owner) && member.state() == MemberState.SUSPECTED));
        awaitOwners(
                "fd-b",
                record -> record.endpoints().stream()
                        .allMatch(entry -> entry.mode() == OwnershipMode.HALF
                                && entry.takenOver()
                                && owner.equals(entry.previous())
                                && entry.owner().host().startsWith("a")));
    }

    /** Guards against waiting for the lease of a process whose own host knows that it has terminated. */
    @Test
    void endpointsOfATerminatedEntryProcessAreTakenOverWithAllSlots() {
        awaitOwnersPlanned();
        EntryProcess owner = host("b1").entry.process();

        host("b1").entry.close();
        host("b1").alive = false;

        awaitOwners(
                "fd-b",
                record -> record.members().isEmpty()
                        && record.endpoints().stream()
                                .allMatch(entry -> entry.mode() == OwnershipMode.FULL
                                        && entry.previous() == null
                                        && !entry.owner().equals(owner)));
    }

    /**
     * Guards against a host that never becomes a member, because a fallback reporter in another failure domain wins
     * every conditional write of the record.
     */
    @Test
    void aHostThatJoinsAnEmptyFailureDomainBecomesItsReporter() throws IOException {
        awaitOwnersPlanned();
        host("b1").entry.close();
        host("b1").alive = false;
        awaitOwners("fd-b", record -> record.members().isEmpty());

        startHost("b2", "fd-b");

        awaitOwners(
                "fd-b",
                record -> record.endpoints().stream()
                        .anyMatch(entry -> entry.owner().host().equals("b2")));
    }

    private void awaitOwnersPlanned() {
        for (String domain : List.of("fd-a", "fd-b")) {
            awaitOwners(
                    domain,
                    record -> record.endpoints().size() == 2
                            && record.endpoints().stream().allMatch(entry -> entry.successor() != null));
        }
        awaitAcknowledged();
    }

    /** Waits until the current successor of every endpoint acknowledges a heartbeat sent after this call. */
    private void awaitAcknowledged() {
        Map<String, Long> sent = new TreeMap<>();
        hosts.forEach((id, host) -> sent.put(id, host.entry.lastHeartbeat()));
        for (String name : List.of(RecordNames.owners("fd-a"), RecordNames.owners("fd-b"))) {
            await(
                    name + " is acknowledged",
                    () -> platform.read(name, OwnersRecord.class).orElseThrow().endpoints().stream()
                            .allMatch(entry -> isAcknowledged(entry, sent)));
        }
    }

    private boolean isAcknowledged(Ownership entry, Map<String, Long> sent) {
        String owner = entry.owner().host();
        return entry.successor() != null && host(owner).entry.lastAcknowledged(entry.successor()) > sent.get(owner);
    }

    private void awaitOwners(String domain, Predicate<OwnersRecord> condition) {
        String name = RecordNames.owners(domain);
        await(
                name + " is as expected",
                () -> platform.read(name, OwnersRecord.class).filter(condition).isPresent());
    }

    private void await(String description, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                String owners = platform.read("owners/fd-a", OwnersRecord.class) + "\n"
                        + platform.read("owners/fd-b", OwnersRecord.class);
                assertWithMessage("%s; owners:\n%s", description, owners).fail();
            }
            try {
                TimeUnit.MILLISECONDS.sleep(20);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private Host host(String id) {
        return hosts.get(id);
    }

    private static long failedWrites(Host host) {
        return host.service.status().read().platformCalls().get("write").failed();
    }

    private static boolean isReporter(Host host) {
        return !host.service.status().read().roles().reporterOf().isEmpty();
    }

    private void startHost(String id, String domain) throws IOException {
        startHost(id, domain, true);
    }

    private Host startHost(String id, String domain, boolean platformOpen) throws IOException {
        Host host = new Host(id, domain, platform.gate(), seeds());
        host.gate.setOpen(platformOpen);
        hosts.put(id, host);
        host.start();
        return host;
    }

    private List<String> seeds() {
        return hosts.values().stream().map(host -> "127.0.0.1:" + host.port).toList();
    }

    private static EndpointList endpoints(String domain, String... entryHosts) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            endpoints.add(new Endpoint(domain + "-e" + i, "calendar-" + domain, "http://127.0.0.1:1", 4, 100, false));
        }
        return new EndpointList(domain, REGION, endpoints, List.of(entryHosts));
    }

    private static AcceptedTable table(long version) {
        Table table = Table.builder()
                .put(new RegionRow(REGION, (int) version, 0))
                .put(new ServiceRow("calendar", Rank.STANDARD, List.of("GET"), 500))
                .put(new UpstreamRow("calendar-fd-a", "calendar", REGION, "fd-a", 1, 0, false))
                .put(new UpstreamRow("calendar-fd-b", "calendar", REGION, "fd-b", 1, 0, false))
                .build();
        return new AcceptedTable(version, "change-" + version, "ana", "test", "2026-01-01T00:00:00Z", List.of(), table);
    }

    /** A control program with a fake entry program. */
    private static final class Host {
        private final String id;
        private final String domain;
        private final InMemoryPlatform.Gate gate;
        private final List<String> seeds;
        private final int port;
        private final int adminPort;
        private ControlService service;
        private FakeEntry entry;
        private volatile boolean alive = true;

        Host(String id, String domain, InMemoryPlatform.Gate gate, List<String> seeds) throws IOException {
            this.id = id;
            this.domain = domain;
            this.gate = gate;
            this.seeds = seeds;
            this.port = freePort();
            this.adminPort = freePort();
        }

        private static int freePort() throws IOException {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            }
        }

        String page(String path) throws IOException, InterruptedException {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + adminPort + path))
                    .build();
            return HttpClient.newHttpClient()
                    .send(request, HttpResponse.BodyHandlers.ofString())
                    .body();
        }

        void start() {
            String toml = String.join(
                    "\n",
                    "[host]",
                    "id = \"" + id + "\"",
                    "region = \"" + REGION + "\"",
                    "failure_domain = \"" + domain + "\"",
                    "address = \"127.0.0.1\"",
                    "[platform]",
                    "url = \"" + gate.url() + "\"",
                    "[control]",
                    "port = " + port,
                    "admin_port = " + adminPort,
                    "seeds = ["
                            + String.join(
                                    ", ",
                                    seeds.stream()
                                            .map(seed -> "\"" + seed + "\"")
                                            .toList()) + "]");
            service = ControlService.builder()
                    .settings(Settings.parse("test.toml", toml))
                    .durations(DURATIONS)
                    .processLiveness(processId -> () -> alive)
                    .build();
            service.start();
            Member member = new Member(
                    new EntryProcess(id, 1),
                    REGION,
                    domain,
                    domain,
                    "http://127.0.0.1:1",
                    "http://127.0.0.1:2",
                    "http://127.0.0.1:3",
                    "127.0.0.1:" + port,
                    MemberState.ACTIVE);
            entry = new FakeEntry(member, DURATIONS.heartbeatIntervalNanos() / NANOS_PER_MILLI);
        }

        void stop() {
            entry.close();
            service.stop();
        }
    }
}
