package io.carawaylift.host;

import io.carawaylift.decisions.fleet.Fleet;
import io.carawaylift.decisions.route.CallerLimits;
import io.carawaylift.decisions.route.RouteTable;
import io.carawaylift.peer.Message;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.StoreKinds;
import io.carawaylift.runtime.Service;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;

/** The program of an entry host: wires its parts on one event loop. */
final class HostService implements Service {
    private static final Duration STORE_CALL_TIMEOUT = Duration.ofMillis(1500);
    private static final long PLAN_MILLIS = 250;
    private static final long SWEEP_MILLIS = 500;

    /** The settings may change without a signal; the platform allows seconds until a change is in force. */
    private static final long SETTINGS_MILLIS = 1000;

    /** Time after a stop for which requests are still accepted: the lifetime of a look-up's answer and some delay. */
    private static final Duration ACCEPT_AFTER_STOP = Duration.ofMillis(2600);

    /** Part of the grace period after which the program ends even if requests are open. */
    private static final double USED_GRACE_PART = 0.93;

    private static final long STOP_POLL_MILLIS = 50;

    private final SettingsFile settings;
    private HostOptions options;
    private final EventLog log;
    private final HostMetrics metrics = new HostMetrics();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("host", true), NioIoHandler.newFactory());
    private final HostLoop loop;
    private final Fleet fleet = new Fleet();
    private final ObjectStoreClient store;
    private final StoreRelay relay;
    private final Beliefs beliefs;
    private final Members members;
    private final EndpointPool pool;
    private final Forwarder forwarder;
    private final CallerServer callers;
    private final Lookups lookups;
    private final long startedMillis = System.currentTimeMillis();
    private InetSocketAddress callerAddress;
    private InetSocketAddress readinessAddress;
    private InetSocketAddress lookupAddress;
    private boolean stopping;

    HostService(HostOptions options, EventLog log, SettingsFile settings) {
        this.options = options;
        this.settings = settings;
        this.log = log;
        this.loop = new HostLoop(group.next(), log);
        this.store = new ObjectStoreClient(new StoreConnections(loop, options.store(), metrics), STORE_CALL_TIMEOUT);
        StoreRetries retries = new StoreRetries(loop);
        this.relay = new StoreRelay(StoreKinds.ENDPOINTS);
        this.beliefs = new Beliefs(fleet, store, retries, relay, loop, log, options.regionsByZone());
        this.members = new Members(options, store, retries, relay, loop, log, this::report);
        this.pool = new EndpointPool(loop, metrics);
        this.forwarder = new Forwarder(options, loop, log, metrics, beliefs, fleet, pool, members);
        this.callers = new CallerServer(loop, this::callerLimits, forwarder);
        this.lookups = new Lookups(this::report, members::alive);
        beliefs.onUnusable(forwarder::unusable);
        beliefs.onChange(forwarder::offerRoom);
        metrics.gauge("carawaylift.requests.open", forwarder::openRequests);
        metrics.gauge("carawaylift.callers.connections", callers::openConnections);
        metrics.gauge("carawaylift.endpoints", () -> fleet.all().size());
        metrics.gauge("carawaylift.store.relay", () -> relay.isRelay() ? 1 : 0);
        metrics.gauge("carawaylift.hosts.alive", () -> members.alive().size() + 1);
        metrics.gauge(
                "carawaylift.configuration.version",
                () -> beliefs.table().map(RouteTable::version).orElse(0L));
        metrics.gauge("carawaylift.log.dropped", log::droppedLines);
    }

    @Override
    public void start() {
        callerAddress = callers.start(options.callers());
        readinessAddress = new PageServer(loop, lookups::readiness).start(options.readiness());
        lookupAddress = new PageServer(loop, lookups::lookup).start(options.lookups());
        new PageServer(loop, this::metricsPage)
                .start(new InetSocketAddress(options.host().address(), options.metricsPort()));
        loop.await(() -> {
            beliefs.start();
            members.start();
            loop.every(PLAN_MILLIS, forwarder::plan);
            loop.every(SWEEP_MILLIS, this::sweep);
            loop.every(SETTINGS_MILLIS, this::reloadIfChanged);
        });
        log.event(
                "started",
                line -> line.put("zone", options.host().failureDomain()).put("callers", text(callerAddress)));
    }

    /** Reads the settings again if they changed; called from any thread. */
    void reload() {
        log.event("signal.hangup", line -> {});
        loop.execute(this::reloadIfChanged);
    }

    private void reloadIfChanged() {
        settings.changed().ifPresent(newer -> {
            // Addresses are bound once; a process with others would be another host.
            options = newer;
            forwarder.setLimits(newer.limits());
            log.event(
                    "reloaded",
                    line -> line.put("retryRatio", newer.limits().retryRatio())
                            .put("retryAllowance", newer.limits().retryAllowance())
                            .put("maxRegionShift", newer.limits().maxRegionShift()));
        });
    }

    private void sweep() {
        callers.sweep();
        pool.sweep();
    }

    @Override
    public void stop() {
        long began = System.nanoTime();
        log.event("stopping", line -> line.put("openRequests", forwarder.openRequests()));
        loop.await(() -> {
            stopping = true;
            callers.prepareStop();
            members.report();
        });
        long most = (long) (options.limits().gracePeriod().toNanos() * USED_GRACE_PART);
        boolean accepting = true;
        while (System.nanoTime() - began < most) {
            if (accepting && System.nanoTime() - began > ACCEPT_AFTER_STOP.toNanos()) {
                accepting = false;
                loop.await(callers::closeIdle);
            }
            if (!accepting && !callers.isBusy()) {
                break;
            }
            pause();
        }
        log.event("stopped", line -> line.put("openRequests", forwarder.openRequests()));
        members.stop();
        log.close();
    }

    /** Returns the address for callers' requests; known after the start. */
    InetSocketAddress callerAddress() {
        return callerAddress;
    }

    /** Returns the address for questions whether the host takes requests; known after the start. */
    InetSocketAddress readinessAddress() {
        return readinessAddress;
    }

    /** Returns the address for look-ups; known after the start. */
    InetSocketAddress lookupAddress() {
        return lookupAddress;
    }

    /** Returns the port for the other hosts; known after the start. */
    int peerPort() {
        return members.port();
    }

    private Message.HostReport report() {
        return new Message.HostReport(
                options.host().id(),
                options.host().region(),
                options.host().failureDomain(),
                startedMillis,
                text(callerAddress),
                takesRequests(),
                relay.reachesStore(),
                options.cores(),
                forwarder.busySlots());
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private boolean takesRequests() {
        return !stopping && beliefs.complete();
    }

    private CallerLimits callerLimits() {
        return beliefs.table().map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
    }

    private PageServer.Page metricsPage(String target) {
        return new PageServer.Page(200, "text/plain; version=0.0.4", metrics.scrape());
    }

    private static void pause() {
        try {
            Thread.sleep(STOP_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
