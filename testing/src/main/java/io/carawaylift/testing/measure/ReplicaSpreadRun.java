package io.carawaylift.testing.measure;

import io.carawaylift.decisions.replica.RecordDelta;
import io.carawaylift.decisions.replica.ReplicaStore;
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
 * Spreads a table over hosts in virtual time: two agents per failure domain push deltas, all hosts exchange digests. The
 * platform fails, half of the hosts are replaced by empty ones, messages are lost and the network is split. Then all live
 * hosts must hold the newest version that any live host holds, within a bounded time, and none may go back.
 *
 * <p>A version that only replaced hosts held comes back with the platform; the run checks that too.
 */
final class ReplicaSpreadRun {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final int DOMAINS = 4;
    private static final int HOSTS_PER_DOMAIN = 6;
    private static final int ROWS = 450;
    private static final int JOIN_PEERS = 5;
    /** About ten rounds of the digest exchange; the spread over all hosts takes about log2(24) of them. */
    private static final long CONVERGENCE = 30 * SECOND;

    /** One host with its copy of the records. */
    private static final class Host {
        private final int domain;
        private final ReplicaStore store = new ReplicaStore();
        private boolean live = true;
        private long newest;
        private int side;

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
    private double loss;
    private int deltas;

    private ReplicaSpreadRun(long seed) {
        random = new Random(seed);
        for (int i = 0; i < ROWS; i++) {
            rows.add("row " + i + " weight 100");
        }
        for (int i = 0; i < DOMAINS * HOSTS_PER_DOMAIN; i++) {
            hosts.add(start(i % DOMAINS));
        }
    }

    /** Runs one seed; returns the number of deltas that were applied. */
    static int runSeed(long seed) {
        ReplicaSpreadRun run = new ReplicaSpreadRun(seed);
        run.run();
        return run.deltas;
    }

    private void run() {
        acceptChanges(20);
        loss = random.nextDouble() * 0.5;
        hosts.forEach(host -> host.side = random.nextInt(2));
        acceptChanges(5);
        platformDown = true;
        for (int i = 0; i < hosts.size() / 2; i++) {
            replace(random.nextInt(hosts.size()));
            events.runUntil(events.now() + random.nextInt(2_000) * MILLISECOND);
        }
        loss = 0;
        hosts.forEach(host -> host.side = 0);
        long newest = hosts.stream().mapToLong(host -> host.newest).max().orElseThrow();
        events.runUntil(events.now() + CONVERGENCE);
        checkAll(newest);
        platformDown = false;
        events.runUntil(events.now() + CONVERGENCE);
        checkAll(version(platform));
    }

    private void acceptChanges(int count) {
        for (int i = 0; i < count; i++) {
            rows.set(random.nextInt(ROWS), "row changed at version " + version(platform));
            platform.putIfNewer(RecordNames.TABLE, version(platform) + 1, RecordBytes.of(String.join("\n", rows)));
            events.runUntil(events.now() + random.nextInt(3_000) * MILLISECOND);
        }
    }

    private void checkAll(long newest) {
        for (Host host : hosts) {
            if (host.newest != newest
                    || host.store.digest() != hosts.get(0).store.digest()) {
                throw new CarawayliftException(
                        ResultCode.INVARIANT_VIOLATED,
                        "a host holds version " + host.newest + " of the table instead of " + newest);
            }
        }
    }

    private Host start(int domain) {
        Host host = new Host(domain);
        every(host, SECOND, () -> watch(host));
        every(host, 2 * SECOND, () -> exchange(host, peer(host)));
        events.after(0, () -> join(host));
        return host;
    }

    private void replace(int index) {
        Host old = hosts.get(index);
        old.live = false;
        hosts.set(index, start(old.domain));
    }

    private void join(Host host) {
        for (int i = 0; i < JOIN_PEERS; i++) {
            exchange(host, hosts.get(random.nextInt(hosts.size())));
        }
    }

    private void every(Host host, long interval, Runnable action) {
        events.after(random.nextInt(1_000) * MILLISECOND, () -> repeat(host, interval, action));
    }

    private void repeat(Host host, long interval, Runnable action) {
        if (host.live) {
            action.run();
            events.after(interval, () -> repeat(host, interval, action));
        }
    }

    /** The first two hosts of a failure domain are its agents. */
    private void watch(Host host) {
        List<Host> domain =
                hosts.stream().filter(other -> other.domain == host.domain).toList();
        if (platformDown || domain.indexOf(host) >= 2) {
            return;
        }
        platform.read(RecordNames.TABLE).ifPresent(entry -> {
            ReplicaStore.Entry before = host.store.read(RecordNames.TABLE).orElse(null);
            take(host, Map.of(RecordNames.TABLE, entry));
            if (before != null && before.version() < entry.version()) {
                RecordDelta delta = RecordDelta.between(before, entry);
                domain.forEach(member -> send(host, member, receiver -> takeDelta(receiver, host, delta)));
            }
        });
    }

    private void takeDelta(Host receiver, Host sender, RecordDelta delta) {
        if (receiver.store.applyDelta(RecordNames.TABLE, delta)) {
            deltas++;
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
        Map<String, ReplicaStore.Entry> lacking = host.store.recordsOlderAtPeer(peerVersions);
        Map<String, Long> own = host.store.versions();
        boolean wanted = !host.store.namesNewerAtPeer(peerVersions).isEmpty();
        send(host, peer, other -> {
            take(other, lacking);
            if (wanted) {
                Map<String, ReplicaStore.Entry> newer = other.store.recordsOlderAtPeer(own);
                send(other, host, self -> take(self, newer));
            }
        });
    }

    private void take(Host host, Map<String, ReplicaStore.Entry> entries) {
        entries.forEach((name, entry) -> host.store.putIfNewer(name, entry.version(), entry.value()));
        checkVersion(host);
    }

    private void checkVersion(Host host) {
        long version = version(host.store);
        if (version < host.newest) {
            throw new CarawayliftException(
                    ResultCode.INVARIANT_VIOLATED, "table went back from " + host.newest + " to " + version);
        }
        host.newest = version;
    }

    /** Returns a random peer, one time in four of any failure domain. */
    private Host peer(Host host) {
        List<Host> peers = random.nextInt(4) == 0
                ? hosts
                : hosts.stream().filter(other -> other.domain == host.domain).toList();
        return peers.get(random.nextInt(peers.size()));
    }

    private void send(Host from, Host to, Consumer<Host> message) {
        if (from.side == to.side && random.nextDouble() >= loss) {
            int copies = random.nextInt(20) == 0 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                events.after((1 + random.nextInt(300)) * MILLISECOND, () -> {
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
