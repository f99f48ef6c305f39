package io.carawaylift.testing.measure;

import io.carawaylift.decisions.replica.RecordDelta;
import io.carawaylift.decisions.replica.ReplicaStore;
import io.carawaylift.loadmodel.EventQueue;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.ResultCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Simulates the replication of a table to hosts in virtual time: two agents per failure domain push deltas, and all hosts
 * exchange digests. The platform fails, half of the hosts are replaced by empty ones, messages are lost and the network is
 * partitioned. Then, within a bounded time, all live hosts must have the newest version that any live host has, and the
 * version of a host must never decrease.
 *
 * <p>A version that only replaced hosts had returns when the platform recovers; the run checks that too.
 */
final class ReplicaSpreadRun {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    private static final int DOMAINS = 4;
    private static final int HOSTS_PER_DOMAIN = 6;
    private static final int ROWS = 450;
    private static final int JOIN_PEERS = 5;
    /** About ten rounds of the digest exchange; replication to all hosts takes about log2(24) rounds. */
    private static final long CONVERGENCE_TIMEOUT_NANOS = 30 * NANOS_PER_SECOND;

    /** One host with its replica of the records. */
    private static final class Host {
        private final int domain;
        private final ReplicaStore store = new ReplicaStore();
        private boolean live = true;
        private long newestVersion;
        private int partition;

        Host(int domain) {
            this.domain = domain;
        }
    }

    private final EventQueue events = new EventQueue();
    private final Random random;
    private final List<Host> hosts = new ArrayList<>();
    private final ReplicaStore platform = new ReplicaStore();
    private final List<String> rows = new ArrayList<>();
    private boolean platformDown;
    private double messageLossRate;
    private int appliedDeltas;

    private ReplicaSpreadRun(long seed) {
        random = new Random(seed);
        for (int i = 0; i < ROWS; i++) {
            rows.add("row " + i + " weight 100");
        }
        for (int i = 0; i < DOMAINS * HOSTS_PER_DOMAIN; i++) {
            hosts.add(start(i % DOMAINS));
        }
    }

    /** Runs one seed and returns the number of applied deltas. Throws {@link CarawayliftException} if a check fails. */
    static int runSeed(long seed) {
        ReplicaSpreadRun run = new ReplicaSpreadRun(seed);
        run.run();
        return run.appliedDeltas;
    }

    private void run() {
        acceptTableChanges(20);
        messageLossRate = random.nextDouble() * 0.5;
        hosts.forEach(host -> host.partition = random.nextInt(2));
        acceptTableChanges(5);
        platformDown = true;
        for (int i = 0; i < hosts.size() / 2; i++) {
            replaceHost(random.nextInt(hosts.size()));
            events.runUntil(events.nowNanos() + random.nextInt(2_000) * NANOS_PER_MILLI);
        }
        messageLossRate = 0;
        hosts.forEach(host -> host.partition = 0);
        long newestVersion =
                hosts.stream().mapToLong(host -> host.newestVersion).max().orElseThrow();
        events.runUntil(events.nowNanos() + CONVERGENCE_TIMEOUT_NANOS);
        checkConverged(newestVersion);
        platformDown = false;
        events.runUntil(events.nowNanos() + CONVERGENCE_TIMEOUT_NANOS);
        checkConverged(version(platform));
    }

    private void acceptTableChanges(int count) {
        for (int i = 0; i < count; i++) {
            rows.set(random.nextInt(ROWS), "row changed at version " + version(platform));
            platform.putIfNewer(RecordNames.TABLE, version(platform) + 1, RecordBytes.of(String.join("\n", rows)));
            events.runUntil(events.nowNanos() + random.nextInt(3_000) * NANOS_PER_MILLI);
        }
    }

    private void checkConverged(long newestVersion) {
        for (Host host : hosts) {
            if (host.newestVersion != newestVersion
                    || host.store.digest() != hosts.get(0).store.digest()) {
                throw new CarawayliftException(
                        ResultCode.INVARIANT_VIOLATED,
                        "a host has version " + host.newestVersion + " of the table instead of " + newestVersion);
            }
        }
    }

    private Host start(int domain) {
        Host host = new Host(domain);
        scheduleEvery(host, NANOS_PER_SECOND, () -> watch(host));
        scheduleEvery(host, 2 * NANOS_PER_SECOND, () -> exchange(host, peer(host)));
        events.schedule(0, () -> join(host));
        return host;
    }

    private void replaceHost(int index) {
        Host old = hosts.get(index);
        old.live = false;
        hosts.set(index, start(old.domain));
    }

    private void join(Host host) {
        for (int i = 0; i < JOIN_PEERS; i++) {
            exchange(host, hosts.get(random.nextInt(hosts.size())));
        }
    }

    private void scheduleEvery(Host host, long intervalNanos, Runnable action) {
        events.schedule(random.nextInt(1_000) * NANOS_PER_MILLI, () -> repeatWhileLive(host, intervalNanos, action));
    }

    private void repeatWhileLive(Host host, long intervalNanos, Runnable action) {
        if (host.live) {
            action.run();
            events.schedule(intervalNanos, () -> repeatWhileLive(host, intervalNanos, action));
        }
    }

    /**
     * Reads the table from the platform if the host is an agent, that is, one of the first two hosts of its failure
     * domain.
     */
    private void watch(Host host) {
        List<Host> domain =
                hosts.stream().filter(other -> other.domain == host.domain).toList();
        if (platformDown || domain.indexOf(host) >= 2) {
            return;
        }
        platform.read(RecordNames.TABLE).ifPresent(entry -> {
            ReplicaStore.Entry before = host.store.read(RecordNames.TABLE).orElse(null);
            storeEntries(host, Map.of(RecordNames.TABLE, entry));
            if (before != null && before.version() < entry.version()) {
                RecordDelta delta = RecordDelta.between(before, entry);
                domain.forEach(member -> send(host, member, receiver -> applyDelta(receiver, host, delta)));
            }
        });
    }

    private void applyDelta(Host receiver, Host sender, RecordDelta delta) {
        if (receiver.store.applyDelta(RecordNames.TABLE, delta)) {
            appliedDeltas++;
            checkVersion(receiver);
        } else {
            exchange(receiver, sender);
        }
    }

    private void exchange(Host host, Host peer) {
        long digest = host.store.digest();
        send(host, peer, other -> {
            if (other.store.digest() != digest) {
                Map<String, Long> versions = other.store.versions();
                send(other, host, self -> pull(self, other, versions));
            }
        });
    }

    private void pull(Host host, Host peer, Map<String, Long> peerVersions) {
        Map<String, ReplicaStore.Entry> olderAtPeer = host.store.recordsOlderAtPeer(peerVersions);
        Map<String, Long> own = host.store.versions();
        boolean peerHasNewer = !host.store.namesNewerAtPeer(peerVersions).isEmpty();
        send(host, peer, other -> {
            storeEntries(other, olderAtPeer);
            if (peerHasNewer) {
                Map<String, ReplicaStore.Entry> newer = other.store.recordsOlderAtPeer(own);
                send(other, host, self -> storeEntries(self, newer));
            }
        });
    }

    private void storeEntries(Host host, Map<String, ReplicaStore.Entry> entries) {
        entries.forEach((name, entry) -> host.store.putIfNewer(name, entry.version(), entry.value()));
        checkVersion(host);
    }

    private void checkVersion(Host host) {
        long version = version(host.store);
        if (version < host.newestVersion) {
            throw new CarawayliftException(
                    ResultCode.INVARIANT_VIOLATED,
                    "table version decreased from " + host.newestVersion + " to " + version);
        }
        host.newestVersion = version;
    }

    /** Returns a random peer of the same failure domain, or in one of four cases of any failure domain. */
    private Host peer(Host host) {
        List<Host> peers = random.nextInt(4) == 0
                ? hosts
                : hosts.stream().filter(other -> other.domain == host.domain).toList();
        return peers.get(random.nextInt(peers.size()));
    }

    private void send(Host from, Host to, Consumer<Host> message) {
        if (from.partition == to.partition && random.nextDouble() >= messageLossRate) {
            int copies = random.nextInt(20) == 0 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                events.schedule((1 + random.nextInt(300)) * NANOS_PER_MILLI, () -> {
                    if (to.live) {
                        message.accept(to);
                    }
                });
            }
        }
    }

    private static long version(ReplicaStore store) {
        return store.read(RecordNames.TABLE).map(ReplicaStore.Entry::version).orElse(0L);
    }
}
