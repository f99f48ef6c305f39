package io.carawaylift.host;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.carawaylift.decisions.fleet.Rendezvous;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import io.carawaylift.peer.PeerLink;
import io.carawaylift.peer.PeerListener;
import io.carawaylift.peer.PeerNetwork;
import io.carawaylift.platform.store.ObjectStore;
import io.carawaylift.platform.store.StoreException;
import io.carawaylift.platform.store.StoreItem;
import io.carawaylift.platform.store.StoreKinds;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

/**
 * The other hosts: their addresses come from the store, their state from themselves several times a second. Used on the event
 * loop only.
 */
final class Members {
    /** Interval between two reports to every other host. */
    private static final long REPORT_MILLIS = 400;

    /** Age after which a report no longer shows that its host lives: three reports and the delay between regions. */
    private static final long STALE_NANOS = 1_400_000_000L;

    private static final Duration PING_INTERVAL = Duration.ofSeconds(1);
    private static final Duration READ_TIMEOUT = Duration.ofMillis(1600);
    private static final long REGISTER_AGAIN_MILLIS = 1000;
    private static final int CONFLICT = 409;

    private final HostOptions options;
    private final ObjectStore store;
    private final HostLoop loop;
    private final EventLog log;
    private final Supplier<Message.HostReport> ownReport;
    private final PeerNetwork network;
    private final KindWatcher watcher;
    private final Map<String, PeerLink> links = new HashMap<>();
    private final Map<String, Connection> inbound = new HashMap<>();
    private final Map<String, Heard> heard = new HashMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private int port;
    private boolean registered;
    private long listedNanos;
    private boolean listed;
    private Runnable onChange = () -> {};

    private record Heard(Message.HostReport report, long nanos) {}

    Members(
            HostOptions options,
            ObjectStore store,
            StoreRetries retries,
            HostLoop loop,
            EventLog log,
            Supplier<Message.HostReport> ownReport) {
        this.options = options;
        this.store = store;
        this.loop = loop;
        this.log = log;
        this.ownReport = ownReport;
        this.network = PeerNetwork.builder()
                .pingInterval(PING_INTERVAL)
                .readTimeout(READ_TIMEOUT)
                .seed(Rendezvous.weight(options.host().id(), ""))
                .build();
        this.watcher = new KindWatcher(StoreKinds.HOSTS, store, retries, loop, log, new Entries());
    }

    void start() {
        port = network.listen(options.host().address(), options.peerPort(), hello(), new Reports());
        watcher.start();
        loop.every(REPORT_MILLIS, this::report);
    }

    /** Sends the own report now, so that a change such as a stop is known at once. */
    void report() {
        Message.HostReport report = ownReport.get();
        links.values().forEach(link -> link.send(report));
        inbound.values().forEach(connection -> connection.send(report));
    }

    void stop() {
        watcher.stop();
        links.values().forEach(PeerLink::close);
        network.close();
    }

    /** Sets what is done when another host is heard of or lost. */
    void onChange(Runnable action) {
        onChange = action;
    }

    /** Returns the newest reports of the other hosts that live. */
    Collection<Message.HostReport> alive() {
        long now = System.nanoTime();
        List<Message.HostReport> alive = new ArrayList<>();
        for (Heard each : heard.values()) {
            if (now - each.nanos() < STALE_NANOS) {
                alive.add(each.report());
            }
        }
        return alive;
    }

    /**
     * Returns the number of hosts that share limits with this one, itself included. Hosts that are listed count although they
     * may be gone, because a host that is cut off must not take the others' part.
     */
    int listedHosts() {
        return Math.max(1, Math.max(revisions.size(), alive().size() + 1));
    }

    /** Returns whether the other hosts have had time to report since this one knows their addresses. */
    boolean isSettled() {
        return listed && System.nanoTime() - listedNanos > STALE_NANOS;
    }

    private Message.Hello hello() {
        return new Message.Hello(
                "host",
                options.host().id(),
                options.host().region(),
                options.host().failureDomain(),
                options.host().address() + ":" + options.peerPort(),
                null,
                ProcessHandle.current().pid());
    }

    private ObjectNode entry() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("address", options.host().address() + ":" + port);
    }

    /** Writes the own entry if it is missing or names another address. */
    private void register() {
        String name = options.host().id();
        long expected = revisions.getOrDefault(name, ObjectStore.ABSENT);
        loop.handle(store.put(StoreKinds.HOSTS, name, expected, entry()), (item, failure) -> {
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
            revisions.put(item.name(), item.revision());
            JsonNode address = item.value().path("address");
            if (item.name().equals(options.host().id())) {
                registered = item.value().equals(entry());
                return;
            }
            if (!address.isTextual()) {
                log.event("member.entry_ignored", line -> line.put("member", item.name()));
                return;
            }
            PeerLink before = links.remove(item.name());
            if (before != null) {
                before.close();
            }
            // One of two hosts connects; both send over the connection.
            if (options.host().id().compareTo(item.name()) < 0) {
                links.put(item.name(), network.connect(address.textValue(), hello(), new Reports()));
            }
        }

        @Override
        public void deleted(String name, boolean storeWasAway) {
            revisions.remove(name);
            PeerLink link = links.remove(name);
            if (link != null) {
                link.close();
            }
        }

        @Override
        public void synchronizedWithStore() {
            if (!listed) {
                listed = true;
                listedNanos = System.nanoTime();
            }
            registerUnlessListed();
        }
    }

    /** Runs on the network's thread. */
    private final class Reports implements PeerListener {
        @Override
        public void opened(Connection connection) {
            loop.execute(() -> {
                String name = connection.remote().host();
                if (options.host().id().compareTo(name) > 0) {
                    inbound.put(name, connection);
                }
                connection.send(ownReport.get());
            });
        }

        @Override
        public void received(Connection connection, Message message) {
            if (message instanceof Message.HostReport report) {
                loop.execute(() -> heard(report));
            }
        }

        @Override
        public void closed(Connection connection) {
            loop.execute(() -> lost(connection));
        }
    }

    private void heard(Message.HostReport report) {
        Heard before = heard.get(report.host());
        if (before != null && before.report().startedMillis() > report.startedMillis()) {
            return;
        }
        heard.put(report.host(), new Heard(report, System.nanoTime()));
        boolean changed = before == null || before.report().takesRequests() != report.takesRequests();
        if (changed) {
            log.event(
                    "dependency.regained",
                    line -> line.put("dependency", "host")
                            .put("name", report.host())
                            .put("takesRequests", report.takesRequests()));
            onChange.run();
        }
    }

    private void lost(Connection connection) {
        String name = Optional.ofNullable(connection.remote())
                .map(Message.Hello::host)
                .orElse("");
        inbound.remove(name, connection);
        if (heard.remove(name) != null) {
            log.event("dependency.lost", line -> line.put("dependency", "host").put("name", name));
            onChange.run();
        }
    }
}
