package io.carawaylift.entry;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberState;
import io.carawaylift.peer.ControlLink;
import io.carawaylift.runtime.AdminServer;
import io.carawaylift.runtime.HostSettings;
import io.carawaylift.runtime.Service;
import io.netty.util.HashedWheelTimer;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** The entry program: creates its components, starts them and stops them gracefully. */
final class EntryService implements Service, ControlRecords.Consumers {
    private static final int MAX_DECISIONS = 16_384;
    private static final long TIMER_TICK_MILLIS = 5;
    private static final long SHARD_TICK_MILLIS = 10;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;

    private final EntrySettings settings;
    private final EntryProcess self;
    private final LongSupplier clock = System::nanoTime;
    private final HashedWheelTimer timer = new HashedWheelTimer(TIMER_TICK_MILLIS, TimeUnit.MILLISECONDS);
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private final AtomicReference<AdminPages> pages = new AtomicReference<>();
    private final AdminServer admin;
    private final EntryMetrics metrics;
    private final SynchronizedLeaseGuard leases;
    private final LinkPacer pacer;
    private final OutboundCalls calls;
    private final QueueShards queueShards;
    private final Steering steering;
    private final ServerState serverState;
    private final EntryHttpServer server;
    private final ControlLink link;
    private final ControlRecords records;
    private final JoinPeriod joinPeriod = new JoinPeriod();
    private volatile MemberState state = MemberState.JOINING;
    private final HeartbeatSender heartbeats;
    private volatile boolean started;

    /**
     * Creates the program.
     *
     * @param links creates the connection to the control program of the host
     */
    EntryService(EntrySettings settings, EntryProcess self, Function<ControlLink.Identity, ControlLink> links) {
        this.settings = settings;
        this.self = self;
        String region = settings.host().region();
        admin = new AdminServer(
                settings.host().address(), settings.adminPort(), jooby -> AdminPages.addTo(jooby, pages::get));
        metrics = new EntryMetrics(admin.metrics());
        leases = new SynchronizedLeaseGuard(self, clock);
        pacer = new LinkPacer(region, clock, timer, metrics);
        calls = new OutboundCalls(settings.maxCalls(), clock, timer, metrics);
        queueShards = new QueueShards(self, settings, clock, leases, calls, pacer, metrics);
        steering = new Steering(self, queueShards, pacer, clock);
        DecisionLog log =
                new DecisionLog(MAX_DECISIONS, settings.slowThreshold().toNanos(), metrics);
        RequestExecution.Dependencies executionDependencies =
                new RequestExecution.Dependencies(steering, queueShards, timer, clock);
        RequestRouter router = new RequestRouter(
                self,
                new RequestRouter.Dependencies(
                        executionDependencies,
                        new AtMostOnceRequests(self, clock, timer),
                        new TicketForwarder(queueShards, timer, clock),
                        new ResultDelivery(executionDependencies, pacer, region),
                        log,
                        metrics));
        serverState = new ServerState(router, clock);
        server = new EntryHttpServer(settings.host().address(), settings.port(), serverState);
        pages.set(new AdminPages(
                self, new AdminPages.Sources(steering, queueShards, log, () -> state, serverState::inFlight, clock)));
        link = links.apply(
                new ControlLink.Identity("entry", self, ProcessHandle.current().pid()));
        records = new ControlRecords(leases, this);
        heartbeats = new HeartbeatSender(link, leases, queueShards, this::member, steering::topology, clock);
    }

    @Override
    public void start() {
        server.start();
        admin.start();
        link.start(records);
        schedule("heartbeat", this::heartbeat, HEARTBEAT_INTERVAL_MILLIS);
        schedule("link shares", this::updateLinks, HEARTBEAT_INTERVAL_MILLIS);
        schedule("queues", queueShards::tick, SHARD_TICK_MILLIS);
        started = true;
    }

    /** Returns the port that serves callers. */
    int port() {
        return server.port();
    }

    /** Returns the number of violated invariants. */
    long violationCount() {
        return metrics.violationCount();
    }

    /** Returns the content of the pages for operators. */
    AdminPages pages() {
        return pages.get();
    }

    @Override
    public void topologyChanged(Topology topology) {
        pacer.update(topology, leases.isLeaseUnconfirmed(), joinPeriod.isJoining(clock.getAsLong()));
        queueShards.topology(topology);
        steering.topology(topology);
        activateIfJoined();
    }

    /**
     * Becomes active when this process has its share of the links. Before that, an owner could not send responses to
     * other regions, and the work that it ran would be lost.
     */
    private void activateIfJoined() {
        if (state == MemberState.JOINING && steering.topology() != null && !joinPeriod.isJoining(clock.getAsLong())) {
            state = MemberState.ACTIVE;
        }
    }

    @Override
    public void heartbeatConfirmed(long heartbeat) {
        joinPeriod.heartbeatConfirmed(clock.getAsLong());
    }

    @Override
    public void invariantViolated(String name, RuntimeException fault) {
        metrics.countViolation(name, fault);
    }

    /**
     * Serves until callers have stopped using this process and nothing is in flight, then closes everything. Meanwhile
     * its endpoints move to other owners, because its heartbeats report that it is stopping.
     */
    @Override
    public void stop() {
        if (!started) {
            return;
        }
        state = MemberState.LEAVING;
        serverState.closeAfterResponses();
        new GracefulStop(settings.stopTimeout(), clock).await(this::lookupLifetimeMs, this::isDrained);
        server.stopAccepting();
        // A request may have arrived on an open connection before the port was closed.
        new GracefulStop(settings.stopTimeout(), clock).await(() -> 0, this::isIdle);
        abort();
    }

    /** Closes everything without waiting for requests in flight. */
    void abort() {
        server.stop();
        link.stop();
        scheduler.shutdownNow();
        calls.stop();
        timer.stop();
        admin.stop();
    }

    /** Sends a heartbeat now. */
    void heartbeat() {
        heartbeats.send();
    }

    private boolean isDrained() {
        Topology topology = steering.topology();
        boolean ownsNothing = topology == null || !topology.ownsAny(self);
        return ownsNothing && isIdle();
    }

    /**
     * Returns whether nothing is queued or in flight. The server's count alone is not enough, because an at-most-once
     * request continues after its caller disconnects.
     */
    private boolean isIdle() {
        return serverState.inFlight() == 0 && queueShards.isIdle();
    }

    private long lookupLifetimeMs() {
        Topology topology = steering.topology();
        return topology == null ? 0 : topology.table().lookupLifetimeMs();
    }

    private Member member() {
        HostSettings host = settings.host();
        return new Member(
                self,
                host.region(),
                host.failureDomain(),
                host.site(),
                url(server.port()),
                url(settings.lookupPort()),
                url(settings.adminPort()),
                host.address() + ":" + settings.controlPort(),
                state);
    }

    private String url(int port) {
        return "http://" + settings.host().address() + ":" + port;
    }

    private void updateLinks() {
        Topology topology = steering.topology();
        if (topology != null) {
            pacer.update(topology, leases.isLeaseUnconfirmed(), joinPeriod.isJoining(clock.getAsLong()));
            activateIfJoined();
        }
    }

    private void schedule(String name, Runnable task, long intervalMs) {
        Runnable guarded = () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                metrics.countViolation(name, e);
            }
        };
        var unused = scheduler.scheduleAtFixedRate(guarded, 0, intervalMs, TimeUnit.MILLISECONDS);
    }
}
