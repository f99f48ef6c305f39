package io.carawaylift.testing.demo;

import io.carawaylift.model.AddressBlockList;
import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.testing.PlatformProgram;
import io.carawaylift.testing.UpstreamProgram;
import io.carawaylift.testing.demo.SitePlan.Domain;
import io.carawaylift.testing.demo.SitePlan.ServicePlan;
import io.carawaylift.testing.upstream.UpstreamPlan;
import io.carawaylift.testing.upstream.UpstreamPlan.EndpointPlan;
import io.carawaylift.testing.upstream.UpstreamPlan.ServiceTime;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** Runs a site as real processes: the platform, one process per failure domain for the endpoints, and the entry hosts. */
public final class RunningSite implements AutoCloseable {
    private static final String ADDRESS = "127.0.0.1";
    private static final int SPARE_HOSTS = 4;
    private static final int PORTS_PER_HOST = 6;
    private static final int MAX_SEEDS = 3;
    private static final int COLD_REQUESTS = 3;

    private final SitePlan plan;
    private final Path directory;
    private final Launcher launcher;
    private final UnaryOperator<String> endpointUrls;
    private final PortRange ports;
    private final SimulatedPlatformClient platform;
    private final int platformPort;
    private final int platformControlPort;
    private final Map<String, UpstreamPlan> upstreamPlans = new LinkedHashMap<>();
    private final UpstreamProcesses upstreams;
    private final List<EntryHost> hosts = new ArrayList<>();
    private int hostNumber;

    /**
     * Prepares a site without starting its processes.
     *
     * @param directory directory for settings and logs
     * @param endpointUrls maps the URL of an endpoint to the URL that the platform lists, for example that of a proxy
     */
    public RunningSite(SitePlan plan, Path directory, UnaryOperator<String> endpointUrls) {
        this.plan = plan;
        this.directory = directory;
        this.endpointUrls = endpointUrls;
        this.launcher = new Launcher(directory, Launcher.workspace());
        int endpoints =
                plan.services().stream().mapToInt(ServicePlan::endpoints).sum();
        int hostPorts = (plan.hosts() + SPARE_HOSTS) * PORTS_PER_HOST;
        this.ports = PortRange.find(2 + plan.domains().size() + endpoints + hostPorts);
        this.platformPort = ports.take();
        this.platformControlPort = ports.take();
        this.platform = new SimulatedPlatformClient(url(platformPort), url(platformControlPort));
        plan.domains().forEach(domain -> upstreamPlans.put(domain.name(), upstreamPlan(domain)));
        this.upstreams = new UpstreamProcesses(upstreamPlans.values().stream()
                .map(upstream -> url(upstream.controlPort()))
                .toList());
        for (int index = 0; index < plan.hosts(); index++) {
            addHost(plan.domains().get(index % plan.domains().size()));
        }
    }

    /**
     * Starts all processes; returns when all hosts are active members with a table in force and all endpoints have
     * owners.
     */
    public void start(long seconds) {
        startPlatform();
        startUpstreams();
        hosts.forEach(EntryHost::start);
        if (Await.until(seconds, this::ready) < 0) {
            throw new IllegalStateException("the site was not ready within " + seconds + " s: " + describeState());
        }
    }

    /** Returns the plan of the site. */
    public SitePlan plan() {
        return plan;
    }

    /** Returns the directory of settings and logs. */
    public Path directory() {
        return directory;
    }

    /** Returns the platform. */
    public SimulatedPlatformClient platform() {
        return platform;
    }

    /** Returns the processes that simulate the endpoints. */
    public UpstreamProcesses upstreams() {
        return upstreams;
    }

    /** Returns the entry hosts, including added ones that have not started, without those that were unlisted. */
    public List<EntryHost> hosts() {
        return List.copyOf(hosts);
    }

    /** Returns the launcher of all processes. */
    public Launcher launcher() {
        return launcher;
    }

    /** Returns the URL of an endpoint of a service, without a proxy. */
    public String endpointUrl(ServicePlan service, Domain domain, int index) {
        String id = endpointId(service, domain, index);
        return upstreamPlans.get(domain.name()).endpoints().stream()
                .filter(endpoint -> endpoint.id().equals(id))
                .map(endpoint -> url(endpoint.port()))
                .findFirst()
                .orElseThrow();
    }

    /** Adds a host with a new id without starting it. */
    public EntryHost addHost(Domain domain) {
        hostNumber++;
        EntryHost host = new EntryHost(launcher, directory, "h" + hostNumber, domain, ports);
        hosts.add(host);
        return host;
    }

    /** Writes the settings of an added host, makes the platform list it and starts it. */
    public void startAddedHost(EntryHost host) {
        host.writeSettings(platform.url(), seeds());
        listDomain(host.domain(), "");
        host.start();
    }

    /** Removes a host from the platform's list, as the platform does some time after a host has terminated. */
    public void unlistHost(EntryHost host) {
        hosts.remove(host);
        listDomain(host.domain(), "");
    }

    /** Makes the platform list a failure domain; the endpoints of {@code drainingUpstream} are listed as draining. */
    public void listDomain(Domain domain, String drainingUpstream) {
        List<Endpoint> endpoints = upstreamPlans.get(domain.name()).endpoints().stream()
                .map(endpoint -> toListedEndpoint(endpoint, endpoint.upstream().equals(drainingUpstream)))
                .toList();
        List<String> entryHosts = hosts.stream()
                .filter(host -> host.domain().equals(domain))
                .map(EntryHost::id)
                .toList();
        platform.list(new EndpointList(domain.name(), domain.region(), endpoints, entryHosts));
    }

    /**
     * Returns whether every host is an active member with a table in force and every endpoint has an owner and no
     * pending successor.
     */
    public boolean ready() {
        return activeMembers() == hosts.size() && endpointsWithoutOwner() == 0;
    }

    /** Returns how many members report at least this table version. */
    public long membersWithTable(long version) {
        return reports().stream()
                .filter(report -> report.tableVersion() >= version)
                .count();
    }

    /** Returns the latest heartbeat reports of all failure domains. */
    public List<MemberReport> reports() {
        return plan.domains().stream()
                .map(domain -> platform.heartbeats(domain.name()))
                .flatMap(Optional::stream)
                .map(DomainRecord::members)
                .flatMap(List::stream)
                .toList();
    }

    /** Kills every process of the site. */
    @Override
    public void close() {
        launcher.close();
    }

    private void startPlatform() {
        launcher.program(
                "platform",
                PlatformProgram.class,
                "--port",
                Integer.toString(platformPort),
                "--control-port",
                Integer.toString(platformControlPort));
        if (Await.until(20, () -> platform.calls() != null) < 0) {
            throw new IllegalStateException("the platform did not start within 20 s, see " + launcher.log("platform"));
        }
        platform.writeInitial(plan.table(), addressBlocks());
        plan.domains().forEach(domain -> listDomain(domain, ""));
        hosts.forEach(host -> host.writeSettings(platform.url(), seeds()));
    }

    private void startUpstreams() {
        upstreamPlans.forEach((domain, upstream) -> {
            Path file = directory.resolve("upstream-" + domain + ".json");
            upstream.write(file);
            launcher.program("upstream-" + domain, UpstreamProgram.class, file.toString());
        });
        if (Await.until(20, () -> !upstreams.statistics().isEmpty()) < 0) {
            throw new IllegalStateException("the endpoints did not start within 20 s");
        }
    }

    private String describeState() {
        return activeMembers() + " of " + hosts.size() + " members active, " + endpointsWithoutOwner()
                + " endpoints without owner, exited unexpectedly: " + launcher.endedUnexpectedly() + ", logs in "
                + directory;
    }

    private long activeMembers() {
        return reports().stream()
                .filter(report -> report.member().state() == MemberState.ACTIVE && report.tableVersion() > 0)
                .map(report -> report.member().process().host())
                .distinct()
                .count();
    }

    private long endpointsWithoutOwner() {
        long withoutOwner = 0;
        for (Domain domain : plan.domains()) {
            long owned = platform.owners(domain.name())
                    .map(record -> record.endpoints().stream()
                            .filter(ownership -> ownership.owner() != null && ownership.next() == null)
                            .count())
                    .orElse(0L);
            withoutOwner +=
                    Math.max(0, upstreamPlans.get(domain.name()).endpoints().size() - owned);
        }
        return withoutOwner;
    }

    private List<String> seeds() {
        return hosts.stream().limit(MAX_SEEDS).map(EntryHost::controlAddress).toList();
    }

    /** Returns one block of client addresses per failure domain. */
    private List<AddressBlockList.Block> addressBlocks() {
        List<AddressBlockList.Block> blocks = new ArrayList<>();
        for (int index = 0; index < plan.domains().size(); index++) {
            blocks.add(new AddressBlockList.Block(
                    "10." + (index + 1) + ".0.0/16", plan.domains().get(index).name()));
        }
        return blocks;
    }

    private Endpoint toListedEndpoint(EndpointPlan endpoint, boolean draining) {
        return new Endpoint(
                endpoint.id(),
                endpoint.upstream(),
                endpointUrls.apply(url(endpoint.port())),
                endpoint.slots(),
                endpoint.maxConnections(),
                draining);
    }

    private UpstreamPlan upstreamPlan(Domain domain) {
        List<EndpointPlan> endpoints = new ArrayList<>();
        List<ServiceTime> serviceTimes = new ArrayList<>();
        int domainIndex = plan.domains().indexOf(domain);
        for (ServicePlan service : plan.services()) {
            for (int index = 0; index < plan.endpointsIn(service, domainIndex); index++) {
                endpoints.add(new EndpointPlan(
                        endpointId(service, domain, index),
                        plan.upstream(service, domain),
                        ports.take(),
                        service.slots(),
                        service.maxConnections()));
            }
            serviceTimes.add(new ServiceTime("/" + service.name(), service.meanMs()));
        }
        ServicePlan fileService = plan.services().get(plan.services().size() - 1);
        serviceTimes.add(new ServiceTime("/download", fileService.meanMs()));
        return new UpstreamPlan(ADDRESS, ports.take(), endpoints, serviceTimes, COLD_REQUESTS);
    }

    private String endpointId(ServicePlan service, Domain domain, int index) {
        return plan.upstream(service, domain) + "-" + index;
    }

    private static String url(int port) {
        return "http://" + ADDRESS + ":" + port;
    }
}
