package io.carawaylift.host;

import io.carawaylift.decisions.currency.CurrencyTimes;
import io.carawaylift.decisions.customer.ClockReading;
import io.carawaylift.decisions.customer.KeyUse;
import io.carawaylift.decisions.fleet.EndpointRegistry;
import io.carawaylift.decisions.quota.QuotaTerms;
import io.carawaylift.decisions.route.CallerLimits;
import io.carawaylift.decisions.route.RouteTable;
import io.carawaylift.host.drain.DrainTimes;
import io.carawaylift.host.drain.GracefulDrain;
import io.carawaylift.host.quota.HostQuotas;
import io.carawaylift.peer.Message;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.StoreKinds;
import io.carawaylift.runtime.BuildRevision;
import io.carawaylift.runtime.Service;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Creates the components of an entry host and runs them on one event loop. */
final class HostService implements Service {
    private static final Duration STORE_CALL_TIMEOUT = Duration.ofMillis(1500);
    private static final long PLAN_INTERVAL_MILLIS = 250;
    private static final long SWEEP_INTERVAL_MILLIS = 500;

    /** Checks for changes that come without a signal; the platform allows seconds until a change is in force. */
    private static final long SETTINGS_CHECK_INTERVAL_MILLIS = 1000;

    private static final long STOP_POLL_INTERVAL_MILLIS = 50;

    /** Longer than the event loop is busy with one task. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(500);

    private final SettingsFile settings;
    /** Written on the event loop; the thread that stops the service reads it as well. */
    private volatile HostOptions options;

    private final EventLog log;
    private final HostMetrics metrics = new HostMetrics();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("host", true), NioIoHandler.newFactory());
    private final PeerFaults peerFaults;
    private final HostLoop loop;
    private final EndpointRegistry registry = new EndpointRegistry();
    private final ObjectStoreClient store;
    private final StoreRelay relay;
    private final StoreView storeView;
    private final HostQuotas quotas;
    private final HostMembership membership;
    private final EndpointConnectionPool pool;
    private final ConfigurationFreshness freshness;
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
        this.peerFaults = new PeerFaults(log, metrics);
        this.loop = new HostLoop(group.next(), log);
        this.store = new ObjectStoreClient(
                new StoreConnections(loop, options.store(), metrics, peerFaults),
                STORE_CALL_TIMEOUT,
                options.entries());
        StoreRetries retries = new StoreRetries(loop);
        this.relay = new StoreRelay(CurrencyTimes.of(options.bounds().stabilityWindow()));
        this.storeView = new StoreView(registry, store, retries, relay, loop, log, options);
        this.quotas = HostQuotas.builder()
                .host(options.host().id(), options.host().region())
                .terms(new QuotaTerms(
                        options.bounds().quotaWindow().toNanos(),
                        options.bounds().quotaOverage(),
                        options.bounds().quotaSlack()))
                .startedMillis(startedMillis)
                .customers(() -> storeView.customers().all())
                .monitor(new QuotaEvents(log, metrics, this::quotaShare))
                .build();
        this.membership = new HostMembership(options, store, retries, relay, loop, log, this::report, quotas);
        BufferBudget buffers = new BufferBudget(options.buffers().maxTotalBytes());
        this.pool =
                new EndpointConnectionPool(loop, metrics, options.buffers(), buffers, registry::isUsable, peerFaults);
        this.freshness = new ConfigurationFreshness(
                options.bounds().revocationDelay().toMillis(),
                ClockReading::now,
                new FreshnessState(),
                relay::sendToRelays,
                log);
        relay.setFreshness(freshness);
        storeView.setFreshness(freshness);
        this.forwarder = new Forwarder(
                options,
                loop,
                log,
                metrics,
                storeView,
                registry,
                pool,
                membership,
                quotas,
                new RequestAccess.Source(storeView::customers, freshness));
        this.callers = new CallerServer(loop, this::callerLimits, options.pipelines(), buffers, peerFaults, forwarder);
        this.lookups = new Lookups(this::report, membership::liveHosts);
        membership.onEndpointLeaving(forwarder.pushBack()::leavingReported);
        storeView.onUnusable(forwarder::closeIdleConnections);
        storeView.onChange(forwarder::sendQueuedRequests);
        metrics.gauge("carawaylift.requests.open", forwarder::openRequests);
        metrics.gauge("carawaylift.callers.connections", callers::openConnections);
        metrics.gauge("carawaylift.callers.requests", callers::pipelinedRequests);
        metrics.gauge("carawaylift.callers.held.bytes", callers::heldBytes);
        metrics.gauge("carawaylift.callers.held.bytes.max", callers::maxHeldBytes);
        metrics.gauge("carawaylift.endpoints", () -> registry.all().size());
        metrics.gauge("carawaylift.endpoints.ignored", storeView::ignoredEntries);
        metrics.gauge("carawaylift.store.relay", () -> relay.isRelay() ? 1 : 0);
        metrics.gauge("carawaylift.hosts.alive", () -> membership.liveHosts().size() + 1);
        metrics.gauge("carawaylift.hosts.silent", membership::silentHosts);
        metrics.gauge(
                "carawaylift.configuration.version",
                () -> storeView.table().map(RouteTable::version).orElse(0L));
        metrics.gauge("carawaylift.configuration.proven.age.seconds", freshness::ageSeconds);
        metrics.gauge("carawaylift.configuration.usable", () -> freshness.wasUsable() ? 1 : 0);
        relay.watchers().forEach(this::addGauges);
        metrics.gauge("carawaylift.buffers.bytes", buffers::usedBytes);
        metrics.gauge("carawaylift.quota.counts.age.seconds", quotas::ageSeconds);
        metrics.gauge("carawaylift.log.dropped", log::droppedLines);
    }

    private double quotaShare(String customer) {
        return quotas.share(customer);
    }

    private void addGauges(KindWatcher watcher) {
        metrics.gauge("carawaylift.store.age.seconds", watcher.availability()::ageSeconds, "kind", watcher.kind());
        metrics.gauge("carawaylift.store.call.age.seconds", watcher::callAgeSeconds, "kind", watcher.kind());
        metrics.gauge("carawaylift.store.current", () -> watcher.isCurrent() ? 1 : 0, "kind", watcher.kind());
        metrics.gauge(
                "carawaylift.store.responses.lost", watcher.availability()::lostResponses, "kind", watcher.kind());
    }

    @Override
    public void start() {
        callerAddress = callers.start(options.callers());
        readinessAddress = new PageServer(loop, peerFaults, lookups::readiness).start(options.readiness());
        lookupAddress = new PageServer(loop, peerFaults, lookups::lookup).start(options.lookups());
        new PageServer(loop, peerFaults, this::metricsPage)
                .start(new InetSocketAddress(options.host().address(), options.metricsPort()));
        loop.runAndWait(() -> {
            storeView.start();
            membership.start();
            relay.start(loop);
            loop.every(PLAN_INTERVAL_MILLIS, forwarder::updatePlan);
            loop.every(SWEEP_INTERVAL_MILLIS, this::sweep);
            loop.every(ConfigurationFreshness.CHECK_INTERVAL_MILLIS, freshness::check);
            loop.every(SETTINGS_CHECK_INTERVAL_MILLIS, this::reloadIfChanged);
        });
        log.event(
                "started",
                line -> line.put("zone", options.host().failureDomain())
                        .put("callers", hostAndPort(callerAddress))
                        .put("revision", BuildRevision.of(HostProgram.class))
                        .put("java", Runtime.version().toString()));
    }

    /** Reads the settings again if they changed. Thread-safe. */
    void reload() {
        log.event("signal.hangup", line -> {});
        loop.execute(this::reloadIfChanged);
    }

    private void reloadIfChanged() {
        settings.changed().ifPresent(changedOptions -> {
            // Addresses stay as bound at the start; a process with other addresses would be another host.
            options = changedOptions;
            forwarder.setLimits(changedOptions.limits());
            freshness.setRevocationDelayMillis(
                    changedOptions.bounds().revocationDelay().toMillis());
            log.event(
                    "reloaded",
                    line -> line.put("retryRatio", changedOptions.limits().retryRatio())
                            .put("retryAllowance", changedOptions.limits().retryAllowance())
                            .put("maxRegionShift", changedOptions.limits().maxRegionShift()));
        });
    }

    private void sweep() {
        callers.sweep();
        pool.sweep();
    }

    @Override
    public void stop() {
        long startedNanos = System.nanoTime();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        loop.execute(() -> drain(startedNanos, drained));
        await(drained, options.limits().gracePeriod());
        await(
                loop.start(() -> {
                    storeView.stop();
                    membership.stop();
                }),
                CLOSE_TIMEOUT);
        membership.closeNetwork();
        log.close();
    }

    /** Completes a future when the requests in progress have ended or the time for them has passed. */
    private void drain(long startedNanos, CompletableFuture<Void> drained) {
        log.event("stopping", line -> line.put("openRequests", forwarder.openRequests()));
        stopping = true;
        callers.prepareStop();
        // A task of its own, since a fault in a report must not break off the stop.
        loop.execute(membership::sendReports);
        continueDrain(
                new GracefulDrain(
                        callers,
                        forwarder.window(),
                        DrainTimes.of(options.limits().gracePeriod()),
                        startedNanos),
                drained);
    }

    private void continueDrain(GracefulDrain drain, CompletableFuture<Void> drained) {
        // Scheduled first, since a fault in one step must not end the drain.
        HostLoop.Timer next = loop.after(STOP_POLL_INTERVAL_MILLIS, () -> continueDrain(drain, drained));
        if (drain.step(System.nanoTime())) {
            next.cancel();
            log.event("stopped", line -> line.put("openRequests", forwarder.openRequests()));
            drained.complete(null);
        }
    }

    /** Waits for an end on the event loop, but not longer than the process has. */
    private void await(CompletableFuture<Void> end, Duration timeout) {
        try {
            end.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            loop.logFault(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final class FreshnessState implements ConfigurationFreshness.State {
        @Override
        public boolean isProofRequired() {
            return options.bounds().strictRevocation() && storeView.customers().keyUse() != KeyUse.IGNORED;
        }

        @Override
        public boolean isOwnProof() {
            return relay.isRelay();
        }

        @Override
        public void readStoreIfDue() {
            relay.readIfDue(StoreKinds.CONFIGURATIONS);
        }

        @Override
        public long digest() {
            return relay.digest(StoreKinds.CONFIGURATIONS);
        }

        @Override
        public long version() {
            return storeView.table().map(RouteTable::version).orElse(0L);
        }
    }

    /** Returns the address for callers' requests; null before the start. */
    InetSocketAddress callerAddress() {
        return callerAddress;
    }

    /** Returns the address for readiness checks; null before the start. */
    InetSocketAddress readinessAddress() {
        return readinessAddress;
    }

    /** Returns the address for lookups; null before the start. */
    InetSocketAddress lookupAddress() {
        return lookupAddress;
    }

    /** Returns the metrics. Counters may be read by any thread; gauges read what the event loop changes. */
    HostMetrics metrics() {
        return metrics;
    }

    /** Returns the text of the metrics page. Must not be called on the event loop. */
    String scrapeMetrics() {
        return CompletableFuture.supplyAsync(metrics::scrape, loop.netty()).join();
    }

    /** Returns the port for the other hosts; known after the start. */
    int peerPort() {
        return membership.port();
    }

    private Message.HostReport report() {
        return new Message.HostReport(
                options.host().id(),
                options.host().region(),
                options.host().failureDomain(),
                startedMillis,
                hostAndPort(callerAddress),
                takesRequests(),
                relay.reachesStore(),
                options.cores(),
                forwarder.busySlots());
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private boolean takesRequests() {
        return !stopping && storeView.isComplete();
    }

    private CallerLimits callerLimits() {
        return storeView.table().map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
    }

    private PageServer.Page metricsPage(String target) {
        return new PageServer.Page(200, "text/plain; version=0.0.4", metrics.scrape());
    }
}
