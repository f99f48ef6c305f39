package io.carawaylift.control;

import io.carawaylift.model.Member;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import io.carawaylift.peer.PeerLink;
import io.carawaylift.peer.PeerListener;
import io.carawaylift.peer.PeerNetwork;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/**
 * Manages connections to other control programs by host id. Uses a connection that the other side opened if there is
 * one. Used on the decision thread only; the methods of {@link #listener} may be called on any thread.
 */
final class Peers implements Records.Listener {
    private static final Duration UNUSED_LINK_TIMEOUT = Duration.ofSeconds(15);
    private static final int MAX_SEED_CONNECTIONS = 5;

    private final String self;
    private final String failureDomain;
    private final PeerNetwork network;
    private final Message.Hello hello;
    private final Records records;
    private final DecisionLoop loop;
    private final RandomGenerator random;
    private final DeltaCache deltas = new DeltaCache();
    private final Map<String, Address> addresses = new TreeMap<>();
    private final Map<String, Set<String>> hostsByDomain = new HashMap<>();
    private final Map<String, UsedLink> links = new HashMap<>();
    private final Map<Connection, Outbox> outboxes = new LinkedHashMap<>();
    private BiConsumer<Outbox, Message> receiver = (outbox, message) -> {};

    Peers(PeerNetwork network, Message.Hello hello, Records records, DecisionLoop loop, RandomGenerator random) {
        this.self = hello.host();
        this.failureDomain = hello.failureDomain();
        this.network = network;
        this.hello = hello;
        this.records = records;
        this.loop = loop;
        this.random = random;
    }

    /** Sets the receiver of messages of other control programs; it is called on the decision thread. */
    void receiver(BiConsumer<Outbox, Message> newReceiver) {
        this.receiver = newReceiver;
    }

    /** Stores the address at which the control program of a member listens. */
    void updateAddress(Member member) {
        updateAddress(member.process().host(), member.failureDomain(), member.controlAddress());
    }

    /**
     * Updates the addresses of the members of a failure domain and removes those that its record no longer contains.
     */
    @Override
    public void membersRead(OwnersRecord owners) {
        Set<String> hosts = new HashSet<>();
        for (Member member : owners.members()) {
            hosts.add(member.process().host());
            updateAddress(member);
        }
        Set<String> before = hostsByDomain.put(owners.failureDomain(), hosts);
        if (before != null) {
            before.removeAll(hosts);
            addresses.keySet().removeAll(before);
        }
    }

    private void updateAddress(String host, String domain, String address) {
        if (!host.equals(self) && domain != null && address != null && address.indexOf(':') > 0) {
            addresses.put(host, new Address(domain, address));
        }
    }

    /** Connects to at most five random seeds. */
    void connect(List<String> seeds) {
        List<String> shuffled = new ArrayList<>(seeds);
        Collections.shuffle(shuffled, new java.util.Random(random.nextLong()));
        shuffled.stream()
                .filter(seed -> !seed.equals(hello.controlAddress()))
                .limit(MAX_SEED_CONNECTIONS)
                .forEach(this::openLink);
    }

    /**
     * Sends a message to a host and returns whether it was sent. Without a connection the message is dropped and one is
     * opened for later messages.
     */
    boolean send(String host, Message message) {
        Optional<Outbox> outbox = outbox(host);
        return outbox.isPresent() && outbox.get().connection().send(message);
    }

    /** Returns the outbox of the connection to a host; if there is none, opens a connection for later calls. */
    Optional<Outbox> outbox(String host) {
        for (Outbox outbox : outboxes.values()) {
            if (host.equals(outbox.connection().remote().host())) {
                markUsed(outbox.connection().remote().controlAddress());
                return Optional.of(outbox);
            }
        }
        Address address = addresses.get(host);
        if (address != null) {
            openLink(address.hostAndPort());
        }
        return Optional.empty();
    }

    /** Returns a random known host inside or outside the failure domain of this host. */
    Optional<String> randomHost(boolean sameFailureDomain) {
        List<String> hosts = addresses.entrySet().stream()
                .filter(entry -> entry.getValue().failureDomain().equals(failureDomain) == sameFailureDomain)
                .map(Map.Entry::getKey)
                .toList();
        return hosts.isEmpty() ? Optional.empty() : Optional.of(hosts.get(random.nextInt(hosts.size())));
    }

    /** Closes links that were not used within the timeout. */
    void closeUnused() {
        long now = loop.nowNanos();
        links.values().removeIf(link -> {
            boolean unused = now - link.lastUsedNanos > UNUSED_LINK_TIMEOUT.toNanos();
            if (unused) {
                link.link.close();
            }
            return unused;
        });
    }

    /** Returns the number of open connections. */
    int connectionCount() {
        return outboxes.size();
    }

    /** Returns the listener for inbound and outbound connections. */
    PeerListener listener() {
        return new PeerListener() {
            @Override
            public void opened(Connection connection) {
                loop.execute(() -> Peers.this.opened(connection));
            }

            @Override
            public void received(Connection connection, Message message) {
                loop.execute(() -> {
                    Outbox outbox = outboxes.get(connection);
                    if (outbox != null) {
                        receiver.accept(outbox, message);
                    }
                });
            }

            @Override
            public void writable(Connection connection) {
                loop.execute(() -> {
                    Outbox outbox = outboxes.get(connection);
                    if (outbox != null) {
                        outbox.flush();
                    }
                });
            }

            @Override
            public void closed(Connection connection) {
                loop.execute(() -> outboxes.remove(connection));
            }
        };
    }

    private void opened(Connection connection) {
        Message.Hello remote = connection.remote();
        if (remote.host() == null || remote.host().equals(self)) {
            connection.close();
            return;
        }
        updateAddress(remote.host(), remote.failureDomain(), remote.controlAddress());
        outboxes.put(connection, new Outbox(connection, records.store(), deltas));
        connection.send(new Message.StoreDigest(records.store().digest(), records.isSynchronized()));
    }

    private void openLink(String address) {
        links.computeIfAbsent(address, key -> new UsedLink(network.connect(key, hello, listener())));
        markUsed(address);
    }

    private void markUsed(String address) {
        UsedLink link = links.get(address);
        if (link != null) {
            link.lastUsedNanos = loop.nowNanos();
        }
    }

    private record Address(String failureDomain, String hostAndPort) {}

    /** A link and the time of its last use. */
    private static final class UsedLink {
        private final PeerLink link;
        private long lastUsedNanos;

        UsedLink(PeerLink link) {
            this.link = link;
        }
    }
}
