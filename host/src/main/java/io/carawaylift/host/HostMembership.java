package io.carawaylift.host;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.carawaylift.decisions.fleet.Rendezvous;
import io.carawaylift.decisions.relay.RelayContacts;
import io.carawaylift.decisions.relay.RelayOrder;
import io.carawaylift.host.quota.HostQuotas;
import io.carawaylift.host.quota.PeerTarget;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import io.carawaylift.peer.Message.HostReport;
import io.carawaylift.peer.Message.RegionReport;
import io.carawaylift.peer.PeerLink;
import io.carawaylift.peer.PeerListener;
import io.carawaylift.peer.PeerNetwork;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.ObjectStoreClient.ListMode;
import io.carawaylift.platform.store.StoreException;
import io.carawaylift.platform.store.StoreItem;
import io.carawaylift.platform.store.StoreKinds;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Tracks the other hosts, whose addresses come from the store. Each host reports periodically to the two relays of its
 * region, which reply with the live hosts of all regions; relays of different regions report to each other. Used on the
 * event loop only.
 */
final class HostMembership {
    /** Min interval between two reports. */
    private static final long MIN_REPORT_INTERVAL_MILLIS = 400;

    /**
     * Max interval between two reports: a host that lost power must disappear from lookup responses within seven
     * seconds.
     */
    private static final long MAX_REPORT_INTERVAL_MILLIS = 1600;

    /** Report interval per host of the region, so that a relay handles at most about 125 reports per second. */
    private static final long REPORT_INTERVAL_MILLIS_PER_HOST = 8;

    /** Number of consecutive missed reports after which a host is considered unreachable. */
    private static final int MAX_MISSED_REPORTS = 3;

    /** Allowance for the delay of a report between regions and for its processing. */
    private static final long REPORT_DELAY_MILLIS = 200;

    /** One in this many reports lists the hosts of a region even if they did not change. */
    private static final int REPORTS_PER_FULL_REPORT = 5;

    /** Timeout for the first message from a newly contacted host: a few round trips between regions. */
    private static final long FIRST_MESSAGE_TIMEOUT_NANOS = 1_200_000_000L;

    /** Delay before a change is sent to the hosts of the region, so that changes close together are sent as one. */
    private static final long CHANGE_COALESCE_MILLIS = 60;

    private static final Duration PING_INTERVAL = Duration.ofSeconds(1);

    /** Longer than the max interval between two reports. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(1800);

    private static final long REGISTER_RETRY_MILLIS = 1000;
    private static final int CONFLICT_STATUS = 409;

    private final HostOptions options;
    private final String ownName;
    private final String ownRegion;
    private final ObjectStoreClient store;
    private final HostLoop loop;
    private final EventLog log;
    private final Supplier<HostReport> ownReport;
    private final HostQuotas quotas;
    private final StoreRelay relay;
    private final PeerNetwork network;
    private final KindWatcher watcher;
    private final RegionViews views;
    private final Map<String, HostEntry> listedHosts = new HashMap<>();
    private final Map<String, List<String>> relayOrders = new TreeMap<>();
    private final Map<String, OutgoingLink> outgoingLinks = new HashMap<>();
    private final Map<String, Connection> incomingConnections = new HashMap<>();
    private final Map<String, Long> lastReceivedNanos = new HashMap<>();
    private final RelayContacts contacts = new RelayContacts();
    private final StaleEntryRemoval staleEntries;
    private final DelayedRemovals removals;
    private boolean searching;
    private int port;
    private boolean registered;
    private boolean hostsSynchronized;
    private long synchronizedNanos;
    private long reportCount;
    private boolean updateScheduled;
    private Predicate<Message.EndpointLeaving> onEndpointLeaving = message -> false;

    private record OutgoingLink(PeerLink link, String region, long openedNanos) {}

    HostMembership(
            HostOptions options,
            ObjectStoreClient store,
            StoreRetries retries,
            StoreRelay relay,
            HostLoop loop,
            EventLog log,
            Supplier<HostReport> ownReport,
            HostQuotas quotas) {
        this.options = options;
        this.ownName = options.host().id();
        this.ownRegion = options.host().region();
        this.store = store;
        this.staleEntries = new StaleEntryRemoval(store, loop, log);
        this.removals = new DelayedRemovals(loop);
        this.relay = relay;
        this.loop = loop;
        this.log = log;
        this.ownReport = ownReport;
        this.quotas = quotas;
        this.views = new RegionViews(ownName, ownRegion, this::maxReportAgeNanos);
        this.network = PeerNetwork.builder()
                .pingInterval(PING_INTERVAL)
                .readTimeout(READ_TIMEOUT)
                .seed(Rendezvous.weight(ownName, ""))
                .build();
        this.watcher = new KindWatcher(
                StoreKinds.HOSTS, ListMode.LATEST, store, retries, relay, loop, log, new HostEntryListener());
        relay.setRegion(new OwnRegionHosts());
    }

    void start() {
        port = network.listen(options.host().address(), options.peerPort(), hello(), new IncomingConnectionListener());
        watcher.start();
        sendReportsPeriodically();
    }

    /** Sets the receiver of announcements of leaving endpoints, which returns whether an announcement was new. */
    void onEndpointLeaving(Predicate<Message.EndpointLeaving> receiver) {
        onEndpointLeaving = receiver;
    }

    /** Sends a message to all connected hosts; the relays pass it on. */
    void broadcast(Message message) {
        outgoingLinks.values().forEach(outgoing -> outgoing.link().send(message));
        incomingConnections.values().forEach(connection -> connection.send(message));
    }

    /** Stops following the store and closes the links to other hosts. */
    void stop() {
        watcher.stop();
        outgoingLinks.values().forEach(outgoing -> outgoing.link().close());
    }

    /** Ends the network after {@link #stop}. Called outside the event loop, since it waits for another thread. */
    void closeNetwork() {
        network.close();
    }

    /** Returns the port for the other hosts, known after the start. */
    int port() {
        return port;
    }

    /** Returns the live hosts of all regions, excluding this one. */
    Collection<HostReport> liveHosts() {
        return views.allLiveHosts(System.nanoTime());
    }

    /** Returns the live hosts of the own region, excluding this one. */
    Collection<HostReport> liveHostsInRegion() {
        return views.liveHosts(ownRegion, System.nanoTime());
    }

    /** Returns the slots in use by the callers of each region, by region and service. */
    Map<String, Map<String, Double>> busySlots() {
        return views.busySlots(ownReport.get(), System.nanoTime());
    }

    /**
     * Returns the number of hosts that share limits with this one, including this one. Listed hosts count even if they
     * are unreachable, because a partitioned host must not take over the others' share.
     */
    int listedHosts() {
        return Math.max(1, Math.max(listedHosts.size(), liveHosts().size() + 1));
    }

    /**
     * Returns whether the other hosts had time to report since their addresses were read from the store, and all that may
     * be relays were contacted.
     */
    boolean isSettled() {
        return hostsSynchronized && !searching && System.nanoTime() - synchronizedNanos > maxReportAgeNanos();
    }

    /** Returns the number of listed hosts that did not respond to the last contact. */
    int silentHosts() {
        return contacts.silentHosts();
    }

    private void sendReportsPeriodically() {
        // Scheduled first, since a fault in one report must not end the reports.
        loop.after(reportIntervalMillis(), this::sendReportsPeriodically);
        sendReports();
    }

    private long reportIntervalMillis() {
        long wanted = REPORT_INTERVAL_MILLIS_PER_HOST
                * relayOrders.getOrDefault(ownRegion, List.of()).size();
        return Math.max(MIN_REPORT_INTERVAL_MILLIS, Math.min(MAX_REPORT_INTERVAL_MILLIS, wanted));
    }

    /** Returns the age after which a report no longer proves that its host is live. */
    private long maxReportAgeNanos() {
        return TimeUnit.MILLISECONDS.toNanos(MAX_MISSED_REPORTS * reportIntervalMillis() + REPORT_DELAY_MILLIS);
    }

    /** Sends the own report to the relays, and the known hosts to the hosts that report to this one. */
    void sendReports() {
        updateOutgoingLinks();
        HostReport own = ownReport.get();
        RegionReport region = views.ownRegionReport(own, System.nanoTime());
        boolean full = reportCount++ % REPORTS_PER_FULL_REPORT == 0;
        Message ownRegionOnly = new Message.RegionReports(List.of(full ? region : withoutHosts(region)));
        outgoingLinks
                .values()
                .forEach(outgoing -> outgoing.link().send(outgoing.region().equals(ownRegion) ? own : ownRegionOnly));
        sendUpdates(full);
        quotas.sendReports(peerTargets(), listedHosts(), reportIntervalMillis());
        removeStaleEntries();
    }

    private void removeStaleEntries() {
        Map<String, Long> revisions = new HashMap<>();
        listedHosts.forEach((name, entry) -> {
            if (entry.region().equals(ownRegion)) {
                revisions.put(name, entry.revision());
            }
        });
        Set<String> live = new HashSet<>(Set.of(ownName));
        liveHostsInRegion().forEach(host -> live.add(host.host()));
        staleEntries.run(revisions, live, isSettled() && relay.isRelay());
    }

    private List<PeerTarget> peerTargets() {
        List<PeerTarget> targets = new ArrayList<>();
        outgoingLinks.forEach(
                (host, outgoing) -> targets.add(new PeerTarget(host, outgoing.region(), true, outgoing.link()::send)));
        incomingConnections.forEach((host, connection) ->
                targets.add(new PeerTarget(host, connection.remote().region(), false, connection::send)));
        return targets;
    }

    /** Schedules an update to the hosts that report to this one; changes close together share one update. */
    private void scheduleUpdate() {
        if (!updateScheduled) {
            updateScheduled = true;
            loop.after(CHANGE_COALESCE_MILLIS, () -> {
                updateScheduled = false;
                sendUpdates(true);
            });
        }
    }

    /**
     * Sends the known hosts to the hosts that report to this one.
     *
     * @param full whether the hosts are listed even if they did not change
     */
    private void sendUpdates(boolean full) {
        if (incomingConnections.isEmpty()) {
            return;
        }
        Message own = regions(false, full);
        Message all = regions(true, full);
        incomingConnections.values().forEach(connection -> connection.send(isOfOwnRegion(connection) ? all : own));
    }

    private Message regions(boolean others, boolean full) {
        HostReport own = ownReport.get();
        long now = System.nanoTime();
        List<RegionReport> regions = new ArrayList<>();
        regions.add(views.ownRegionReport(own, now));
        if (others) {
            regions.addAll(views.otherRegions(own, now));
        }
        if (!full) {
            regions.replaceAll(HostMembership::withoutHosts);
        }
        return new Message.RegionReports(regions);
    }

    private static RegionReport withoutHosts(RegionReport report) {
        return new RegionReport(report.region(), report.hostsDigest(), null, report.busySlots());
    }

    private boolean isOfOwnRegion(Connection connection) {
        return ownRegion.equals(connection.remote().region());
    }

    /** Maintains links to the relays of the own region and, if this host is a relay, to those of the other regions. */
    private void updateOutgoingLinks() {
        long now = System.nanoTime();
        outgoingLinks.forEach((host, outgoing) -> {
            if (!isResponding(host, now) && now - outgoing.openedNanos() >= FIRST_MESSAGE_TIMEOUT_NANOS) {
                contacts.silent(host, now);
            }
        });
        Set<String> wanted = new LinkedHashSet<>();
        List<String> order = relayOrders.getOrDefault(ownRegion, List.of());
        RelayContacts.Contacts own = contacts.choose(order, ownName, host -> isResponding(host, now));
        searching = own.searching();
        wanted.addAll(own.hosts());
        if (RelayOrder.isRelay(order, ownName, this::isLive)) {
            relayOrders.forEach((region, hosts) -> {
                if (!region.equals(ownRegion)) {
                    wanted.addAll(contacts.choose(hosts, ownName, host -> isResponding(host, now))
                            .hosts());
                }
            });
        }
        outgoingLinks.entrySet().removeIf(outgoing -> {
            boolean unwanted = !wanted.contains(outgoing.getKey());
            if (unwanted) {
                outgoing.getValue().link().close();
            }
            return unwanted;
        });
        for (String host : wanted) {
            outgoingLinks.computeIfAbsent(host, this::openLink);
        }
    }

    private OutgoingLink openLink(String host) {
        HostEntry entry = listedHosts.get(host);
        PeerLink link = network.connect(entry.address(), hello(), new OutgoingLinkListener(host, entry.region()));
        return new OutgoingLink(link, entry.region(), System.nanoTime());
    }

    /** Returns whether a host sent a message recently or has not yet had the time to send its first one. */
    private boolean isLive(String host) {
        long now = System.nanoTime();
        OutgoingLink outgoing = outgoingLinks.get(host);
        boolean starting = outgoing == null
                ? !lastReceivedNanos.containsKey(host)
                : now - outgoing.openedNanos() < FIRST_MESSAGE_TIMEOUT_NANOS;
        return isResponding(host, now) || (starting && !contacts.isSilent(host));
    }

    private boolean isResponding(String host, long now) {
        Long receivedNanos = lastReceivedNanos.get(host);
        return receivedNanos != null && now - receivedNanos < maxReportAgeNanos();
    }

    private Message.Hello hello() {
        return new Message.Hello(
                "host",
                ownName,
                ownRegion,
                options.host().failureDomain(),
                options.host().address() + ":" + options.peerPort(),
                null,
                ProcessHandle.current().pid());
    }

    private ObjectNode entry() {
        return HostEntry.encode(options.host().address() + ":" + port, ownRegion);
    }

    /** Writes the own entry to the store if it is missing or has another address. */
    private void register() {
        HostEntry known = listedHosts.get(ownName);
        long expected = known == null ? ObjectStoreClient.ABSENT : known.revision();
        loop.handle(store.put(StoreKinds.HOSTS, ownName, expected, entry()), (item, failure) -> {
            if (failure == null) {
                registered = true;
                log.event("member.registered", line -> line.put("revision", item.revision()));
                return;
            }
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            log.event("member.not_registered", line -> line.put("reason", String.valueOf(cause.getMessage())));
            boolean conflict = cause instanceof StoreException refused && refused.status() == CONFLICT_STATUS;
            if (!conflict) {
                loop.after(REGISTER_RETRY_MILLIS, this::registerUnlessListed);
            }
        });
    }

    private void registerUnlessListed() {
        if (!registered) {
            register();
        }
    }

    private final class HostEntryListener implements KindListener {
        @Override
        public void changed(StoreItem item) {
            Optional<HostEntry> decoded = HostEntry.decode(item);
            if (decoded.isEmpty()) {
                log.event("member.entry_ignored", line -> line.put("member", item.name()));
                return;
            }
            HostEntry entry = decoded.get();
            removals.cancel(item.name());
            HostEntry before = listedHosts.put(item.name(), entry);
            if (item.name().equals(ownName)) {
                registered = item.value().equals(entry());
            }
            if (before != null && !before.address().equals(entry.address())) {
                contacts.responded(item.name());
                closeOutgoingLink(item.name());
            }
            updateRelayOrders();
        }

        @Override
        public void deleted(Removal removal) {
            boolean own = removal.name().equals(ownName);
            // Another host writes an entry again that a restored store has lost, and until then keeps its part of the
            // shared limits.
            long delayMillis = removal.lost() && !own ? removal.graceMillis() : 0;
            removals.remove(removal.name(), delayMillis, () -> remove(removal.name()));
        }

        private void remove(String name) {
            listedHosts.remove(name);
            if (name.equals(ownName)) {
                // Removed by a host that did not hear this one, or missing in a store that was restored from a copy.
                registered = false;
                loop.after(REGISTER_RETRY_MILLIS, HostMembership.this::registerUnlessListed);
            }
            contacts.responded(name);
            closeOutgoingLink(name);
            updateRelayOrders();
        }

        @Override
        public void synchronizedWithStore() {
            if (!hostsSynchronized) {
                hostsSynchronized = true;
                synchronizedNanos = System.nanoTime();
                sendReports();
            }
            // A restored store may lack an entry whose acceptance is all that this host saw of it.
            registered = registered && listedHosts.containsKey(ownName);
            registerUnlessListed();
        }

        private void closeOutgoingLink(String name) {
            OutgoingLink outgoing = outgoingLinks.remove(name);
            if (outgoing != null) {
                outgoing.link().close();
            }
        }

        private void updateRelayOrders() {
            Map<String, List<String>> byRegion = new TreeMap<>();
            listedHosts.forEach((name, entry) -> byRegion.computeIfAbsent(entry.region(), key -> new ArrayList<>())
                    .add(name));
            relayOrders.clear();
            byRegion.forEach((region, names) -> relayOrders.put(region, RelayOrder.of(names)));
        }
    }

    /** Listens to connections that this host opened. Called on the network's thread. */
    private final class OutgoingLinkListener implements PeerListener {
        private final String host;
        private final String region;

        OutgoingLinkListener(String host, String region) {
            this.host = host;
            this.region = region;
        }

        @Override
        public void opened(Connection connection) {
            loop.execute(() -> {
                lastReceivedNanos.put(host, System.nanoTime());
                connection.send(region.equals(ownRegion) ? ownReport.get() : regions(false, true));
                relay.connectionOpened(connection);
            });
        }

        @Override
        public void received(Connection connection, Message message) {
            loop.execute(() -> HostMembership.this.received(host, connection, message));
        }

        @Override
        public void closed(Connection connection) {
            loop.execute(() -> outgoingLinkClosed(host));
        }
    }

    /** Listens to connections that other hosts opened. Called on the network's thread. */
    private final class IncomingConnectionListener implements PeerListener {
        @Override
        public void opened(Connection connection) {
            loop.execute(() -> {
                String host = connection.remote().host();
                lastReceivedNanos.put(host, System.nanoTime());
                incomingConnections.put(host, connection);
                connection.send(regions(isOfOwnRegion(connection), true));
                relay.connectionOpened(connection);
            });
        }

        @Override
        public void received(Connection connection, Message message) {
            loop.execute(() -> HostMembership.this.received(connection.remote().host(), connection, message));
        }

        @Override
        public void closed(Connection connection) {
            loop.execute(() -> {
                String host = Optional.ofNullable(connection.remote())
                        .map(Message.Hello::host)
                        .orElse("");
                if (incomingConnections.remove(host, connection)) {
                    incomingConnectionClosed(host);
                }
            });
        }
    }

    private void received(String host, Connection connection, Message message) {
        long now = System.nanoTime();
        lastReceivedNanos.put(host, now);
        contacts.responded(host);
        if (message instanceof HostReport report) {
            if (RegionViews.isComplete(report) && views.update(report, now)) {
                log.event(
                        "dependency.regained",
                        line -> line.put("dependency", "host")
                                .put("name", report.host())
                                .put("takesRequests", report.takesRequests()));
                scheduleUpdate();
            }
        } else if (message instanceof Message.RegionReports reports) {
            reports.regions().stream()
                    .filter(RegionViews::isComplete)
                    .forEach(region -> views.update(host, region, now));
        } else if (message instanceof Message.EndpointLeaving leaving) {
            // Only a host that others are connected to passes it on, so that followers send nothing back.
            if (onEndpointLeaving.test(leaving) && !incomingConnections.isEmpty()) {
                broadcast(leaving);
            }
        } else if (!quotas.received(host, connection.remote().region(), message)) {
            relay.messageReceived(connection, message);
        }
    }

    /** Handles the end of the connection to a host that this one contacted. */
    private void outgoingLinkClosed(String host) {
        if (outgoingLinks.containsKey(host)) {
            lastReceivedNanos.remove(host);
            views.removeRelay(host);
            logLost(host);
        }
    }

    /** Handles the end of the connection of a host that contacted this one. */
    private void incomingConnectionClosed(String host) {
        if (views.removeReporter(host)) {
            lastReceivedNanos.remove(host);
            logLost(host);
            scheduleUpdate();
        }
    }

    private void logLost(String host) {
        log.event("dependency.lost", line -> line.put("dependency", "host").put("name", host));
    }

    private final class OwnRegionHosts implements StoreRelay.Region {
        @Override
        public boolean isRelay() {
            HostReport own = ownReport.get();
            if (!own.takesRequests() || !own.reachesPlatform()) {
                return false;
            }
            Set<String> relayCandidates = new LinkedHashSet<>();
            for (HostReport other : liveHostsInRegion()) {
                if (other.takesRequests() && other.reachesPlatform()) {
                    relayCandidates.add(other.host());
                }
            }
            return RelayOrder.isFirst(
                    relayOrders.getOrDefault(ownRegion, List.of()), ownName, relayCandidates::contains);
        }

        @Override
        public boolean hasOtherHosts() {
            return !liveHostsInRegion().isEmpty();
        }

        @Override
        public void send(Message message) {
            incomingConnections.values().stream()
                    .filter(HostMembership.this::isOfOwnRegion)
                    .forEach(connection -> connection.send(message));
        }

        @Override
        public void sendToRelays(Message message) {
            outgoingLinks.values().stream()
                    .filter(outgoing -> outgoing.region().equals(ownRegion))
                    .forEach(outgoing -> outgoing.link().send(message));
        }

        @Override
        public void sendToAny(Message message) {
            incomingConnections.values().stream()
                    .findFirst()
                    .ifPresentOrElse(
                            connection -> connection.send(message),
                            () -> outgoingLinks.values().stream()
                                    .findFirst()
                                    .ifPresent(outgoing -> outgoing.link().send(message)));
        }
    }
}
