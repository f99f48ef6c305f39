package io.carawaylift.host;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.carawaylift.decisions.fleet.Rendezvous;
import io.carawaylift.decisions.relay.RelayOrder;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import io.carawaylift.peer.Message.HostReport;
import io.carawaylift.peer.Message.RegionReport;
import io.carawaylift.peer.PeerLink;
import io.carawaylift.peer.PeerListener;
import io.carawaylift.peer.PeerNetwork;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.StoreException;
import io.carawaylift.platform.store.StoreItem;
import io.carawaylift.platform.store.StoreKinds;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The other hosts. Their addresses come from the store. Each host reports several times a second to the two relays of its
 * region, which answer with the living hosts of their region and of the others; the relays of the regions report to each
 * other. Used on the event loop only.
 */
final class Members {
    /** Least interval between two reports. */
    private static final long LEAST_REPORT_MILLIS = 400;

    /** Longest interval: a host that lost its power must be out of the answers to look-ups within seven seconds. */
    private static final long MOST_REPORT_MILLIS = 1600;

    /** Interval for each host of the region, so that a relay handles about 125 reports a second at most. */
    private static final long REPORT_MILLIS_PER_HOST = 8;

    /** Reports after which a host counts as gone if none arrived. */
    private static final int MISSED_REPORTS = 3;

    /** Delay of a report between regions, and of its handling. */
    private static final long REPORT_DELAY_MILLIS = 200;

    /** Every so many reports the hosts of a region are listed although they did not change. */
    private static final int FULL_REPORTS = 5;

    /** Time in which a host that is contacted for the first time must answer: a few round trips between regions. */
    private static final long FIRST_ANSWER_NANOS = 1_200_000_000L;

    /** Time for which a change waits for others before the hosts of the region are told. */
    private static final long CHANGE_MILLIS = 60;

    private static final Duration PING_INTERVAL = Duration.ofSeconds(1);

    /** Longer than the longest interval between two reports. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(1800);

    private static final long REGISTER_AGAIN_MILLIS = 1000;
    private static final int CONFLICT = 409;

    private final HostOptions options;
    private final String ownName;
    private final String ownRegion;
    private final ObjectStoreClient store;
    private final HostLoop loop;
    private final EventLog log;
    private final Supplier<HostReport> ownReport;
    private final StoreRelay relay;
    private final PeerNetwork network;
    private final KindWatcher watcher;
    private final RegionViews views;
    private final Map<String, Listed> listedHosts = new HashMap<>();
    private final Map<String, List<String>> orders = new TreeMap<>();
    private final Map<String, Contact> contacts = new HashMap<>();
    private final Map<String, Connection> inbound = new HashMap<>();
    private final Map<String, Long> heardNanos = new HashMap<>();
    private int port;
    private boolean registered;
    private boolean listed;
    private long listedNanos;
    private long reports;
    private boolean answerScheduled;

    private record Listed(String address, String region, long revision) {}

    private record Contact(PeerLink link, String region, long sinceNanos) {}

    Members(
            HostOptions options,
            ObjectStoreClient store,
            StoreRetries retries,
            StoreRelay relay,
            HostLoop loop,
            EventLog log,
            Supplier<HostReport> ownReport) {
        this.options = options;
        this.ownName = options.host().id();
        this.ownRegion = options.host().region();
        this.store = store;
        this.relay = relay;
        this.loop = loop;
        this.log = log;
        this.ownReport = ownReport;
        this.views = new RegionViews(ownName, ownRegion, this::staleNanos);
        this.network = PeerNetwork.builder()
                .pingInterval(PING_INTERVAL)
                .readTimeout(READ_TIMEOUT)
                .seed(Rendezvous.weight(ownName, ""))
                .build();
        this.watcher = new KindWatcher(StoreKinds.HOSTS, store, retries, relay, loop, log, new Entries());
        relay.setRegion(new OwnRegion());
    }

    void start() {
        port = network.listen(options.host().address(), options.peerPort(), hello(), new Inbound());
        watcher.start();
        reportRegularly();
    }

    void stop() {
        watcher.stop();
        contacts.values().forEach(contact -> contact.link().close());
        network.close();
    }

    /** Returns the port at which the other hosts reach this one. */
    int port() {
        return port;
    }

    /** Returns the living hosts of all regions without this one. */
    Collection<HostReport> alive() {
        return views.all(System.nanoTime());
    }

    /** Returns the living hosts of the own region without this one. */
    Collection<HostReport> aliveInRegion() {
        return views.hosts(ownRegion, System.nanoTime());
    }

    /** Returns the slots kept busy by the callers of each region, by region and service. */
    Map<String, Map<String, Double>> busySlots() {
        return views.busySlots(ownReport.get(), System.nanoTime());
    }

    /**
     * Returns the number of hosts that share limits with this one, itself included. Hosts that are listed count although they
     * may be gone, because a host that is cut off must not take the others' part.
     */
    int listedHosts() {
        return Math.max(1, Math.max(listedHosts.size(), alive().size() + 1));
    }

    /** Returns whether the other hosts have had time to report since this one knows their addresses. */
    boolean isSettled() {
        return listed && System.nanoTime() - listedNanos > staleNanos();
    }

    private void reportRegularly() {
        report();
        loop.after(reportMillis(), this::reportRegularly);
    }

    private long reportMillis() {
        long wanted = REPORT_MILLIS_PER_HOST
                * orders.getOrDefault(ownRegion, List.of()).size();
        return Math.max(LEAST_REPORT_MILLIS, Math.min(MOST_REPORT_MILLIS, wanted));
    }

    /** Returns the age after which a report no longer shows that its host lives. */
    private long staleNanos() {
        return TimeUnit.MILLISECONDS.toNanos(MISSED_REPORTS * reportMillis() + REPORT_DELAY_MILLIS);
    }

    /** Sends the own report to the relays, and what this host knows to the hosts that report to it. */
    void report() {
        updateContacts();
        HostReport own = ownReport.get();
        RegionReport region = views.ownRegionReport(own, System.nanoTime());
        boolean full = reports++ % FULL_REPORTS == 0;
        Message ownRegionOnly = new Message.RegionReports(List.of(full ? region : light(region)));
        contacts.values()
                .forEach(contact -> contact.link().send(contact.region().equals(ownRegion) ? own : ownRegionOnly));
        answer(full);
    }

    /** Tells the hosts that report to this one of a change; changes that come together are told once. */
    private void answerSoon() {
        if (!answerScheduled) {
            answerScheduled = true;
            loop.after(CHANGE_MILLIS, () -> {
                answerScheduled = false;
                answer(true);
            });
        }
    }

    /** Tells the hosts that report to this one what it knows. */
    private void answer(boolean full) {
        if (inbound.isEmpty()) {
            return;
        }
        Message own = regions(false, full);
        Message all = regions(true, full);
        inbound.values().forEach(connection -> connection.send(isOfOwnRegion(connection) ? all : own));
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
            regions.replaceAll(Members::light);
        }
        return new Message.RegionReports(regions);
    }

    private static RegionReport light(RegionReport report) {
        return new RegionReport(report.region(), report.hostsDigest(), null, report.busySlots());
    }

    private boolean isOfOwnRegion(Connection connection) {
        return ownRegion.equals(connection.remote().region());
    }

    /** Keeps links to the relays of the region and, if this host is a relay, to those of the other regions. */
    private void updateContacts() {
        Set<String> wanted = new LinkedHashSet<>();
        List<String> order = orders.getOrDefault(ownRegion, List.of());
        wanted.addAll(RelayOrder.contacts(order, ownName, this::isLiving));
        if (RelayOrder.isRelay(order, ownName, this::isLiving)) {
            orders.forEach((region, hosts) -> {
                if (!region.equals(ownRegion)) {
                    wanted.addAll(RelayOrder.contacts(hosts, ownName, this::isLiving));
                }
            });
        }
        contacts.entrySet().removeIf(contact -> {
            boolean unwanted = !wanted.contains(contact.getKey());
            if (unwanted) {
                contact.getValue().link().close();
            }
            return unwanted;
        });
        for (String host : wanted) {
            contacts.computeIfAbsent(host, this::contact);
        }
    }

    private Contact contact(String host) {
        Listed entry = listedHosts.get(host);
        PeerLink link = network.connect(entry.address(), hello(), new Outbound(host, entry.region()));
        return new Contact(link, entry.region(), System.nanoTime());
    }

    /** Returns whether a host was heard of, or has not yet had the time to answer. */
    private boolean isLiving(String host) {
        long now = System.nanoTime();
        Long heard = heardNanos.get(host);
        if (heard != null && now - heard < staleNanos()) {
            return true;
        }
        Contact contact = contacts.get(host);
        return contact == null ? heard == null : now - contact.sinceNanos() < FIRST_ANSWER_NANOS;
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
        return JsonNodeFactory.instance
                .objectNode()
                .put("address", options.host().address() + ":" + port)
                .put("region", ownRegion);
    }

    /** Writes the own entry if it is missing or names another address. */
    private void register() {
        Listed known = listedHosts.get(ownName);
        long expected = known == null ? ObjectStoreClient.ABSENT : known.revision();
        loop.handle(store.put(StoreKinds.HOSTS, ownName, expected, entry()), (item, failure) -> {
            if (failure == null) {
                registered = true;
                log.event("member.registered", line -> line.put("revision", item.revision()));
                return;
            }
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            log.event("member.not_registered", line -> line.put("reason", String.valueOf(cause.getMessage())));
            boolean conflict = cause instanceof StoreException refused && refused.status() == CONFLICT;
            if (!conflict) {
                loop.after(REGISTER_AGAIN_MILLIS, this::registerUnlessListed);
            }
        });
    }

    private void registerUnlessListed() {
        if (!registered) {
            register();
        }
    }

    private final class Entries implements KindWatcher.Listener {
        @Override
        public void changed(StoreItem item) {
            JsonNode address = item.value().path("address");
            JsonNode region = item.value().path("region");
            if (!address.isTextual() || !region.isTextual()) {
                log.event("member.entry_ignored", line -> line.put("member", item.name()));
                return;
            }
            Listed before =
                    listedHosts.put(item.name(), new Listed(address.textValue(), region.textValue(), item.revision()));
            if (item.name().equals(ownName)) {
                registered = item.value().equals(entry());
            }
            if (before != null && !before.address().equals(address.textValue())) {
                forgetContact(item.name());
            }
            updateOrders();
        }

        @Override
        public void deleted(String name, long graceMillis) {
            listedHosts.remove(name);
            forgetContact(name);
            updateOrders();
        }

        @Override
        public void synchronizedWithStore() {
            if (!listed) {
                listed = true;
                listedNanos = System.nanoTime();
                report();
            }
            registerUnlessListed();
        }

        private void forgetContact(String name) {
            Contact contact = contacts.remove(name);
            if (contact != null) {
                contact.link().close();
            }
        }

        private void updateOrders() {
            Map<String, List<String>> byRegion = new TreeMap<>();
            listedHosts.forEach((name, entry) -> byRegion.computeIfAbsent(entry.region(), key -> new ArrayList<>())
                    .add(name));
            orders.clear();
            byRegion.forEach((region, names) -> orders.put(region, RelayOrder.of(names)));
        }
    }

    /** Hosts that this one contacted. Runs on the network's thread. */
    private final class Outbound implements PeerListener {
        private final String host;
        private final String region;

        Outbound(String host, String region) {
            this.host = host;
            this.region = region;
        }

        @Override
        public void opened(Connection connection) {
            loop.execute(() -> {
                heardNanos.put(host, System.nanoTime());
                connection.send(region.equals(ownRegion) ? ownReport.get() : regions(false, true));
                relay.opened(connection);
            });
        }

        @Override
        public void received(Connection connection, Message message) {
            loop.execute(() -> Members.this.received(host, connection, message));
        }

        @Override
        public void closed(Connection connection) {
            loop.execute(() -> lostContact(host));
        }
    }

    /** Hosts that contacted this one. Runs on the network's thread. */
    private final class Inbound implements PeerListener {
        @Override
        public void opened(Connection connection) {
            loop.execute(() -> {
                String host = connection.remote().host();
                heardNanos.put(host, System.nanoTime());
                inbound.put(host, connection);
                connection.send(regions(isOfOwnRegion(connection), true));
                relay.opened(connection);
            });
        }

        @Override
        public void received(Connection connection, Message message) {
            loop.execute(() -> Members.this.received(connection.remote().host(), connection, message));
        }

        @Override
        public void closed(Connection connection) {
            loop.execute(() -> {
                String host = Optional.ofNullable(connection.remote())
                        .map(Message.Hello::host)
                        .orElse("");
                if (inbound.remove(host, connection)) {
                    lostReporter(host);
                }
            });
        }
    }

    private void received(String host, Connection connection, Message message) {
        long now = System.nanoTime();
        heardNanos.put(host, now);
        if (message instanceof HostReport report) {
            if (views.take(report, now)) {
                log.event(
                        "dependency.regained",
                        line -> line.put("dependency", "host")
                                .put("name", report.host())
                                .put("takesRequests", report.takesRequests()));
                answerSoon();
            }
        } else if (message instanceof Message.RegionReports reports) {
            reports.regions().forEach(region -> views.take(host, region, now));
        } else {
            relay.received(connection, message);
        }
    }

    /** The connection to a host that this one contacted ended. */
    private void lostContact(String host) {
        if (contacts.containsKey(host)) {
            heardNanos.remove(host);
            views.lostRelay(host);
            logLost(host);
        }
    }

    /** The connection of a host that contacted this one ended. */
    private void lostReporter(String host) {
        if (views.lostReporter(host)) {
            heardNanos.remove(host);
            logLost(host);
            answerSoon();
        }
    }

    private void logLost(String host) {
        log.event("dependency.lost", line -> line.put("dependency", "host").put("name", host));
    }

    private final class OwnRegion implements StoreRelay.Region {
        @Override
        public boolean isRelay() {
            HostReport own = ownReport.get();
            if (!own.takesRequests() || !own.reachesPlatform()) {
                return false;
            }
            Set<String> able = new LinkedHashSet<>();
            for (HostReport other : aliveInRegion()) {
                if (other.takesRequests() && other.reachesPlatform()) {
                    able.add(other.host());
                }
            }
            return RelayOrder.isFirst(orders.getOrDefault(ownRegion, List.of()), ownName, able::contains);
        }

        @Override
        public boolean hasOthers() {
            return !aliveInRegion().isEmpty();
        }

        @Override
        public void send(Message message) {
            inbound.values().stream()
                    .filter(Members.this::isOfOwnRegion)
                    .forEach(connection -> connection.send(message));
        }

        @Override
        public void sendToAny(Message message) {
            inbound.values().stream()
                    .findFirst()
                    .ifPresentOrElse(
                            connection -> connection.send(message),
                            () -> contacts.values().stream()
                                    .findFirst()
                                    .ifPresent(contact -> contact.link().send(message)));
        }
    }
}
