package io.carawaylift.testing.measure;

import io.carawaylift.decisions.replica.RecordDelta;
import io.carawaylift.decisions.replica.ReplicaStore;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import java.util.List;
import java.util.Map;

/** Measures the duties whose cost depends on the number of nodes of the fleet. */
final class FleetCost {
    private static final double EXCHANGES_PER_SECOND = 0.5;
    private static final double TABLE_CHANGES_PER_SECOND = 14_000 / 86_400.0;
    /** 857 restarts and replacements per day at 3,100 nodes, each of which changes an ownership record about four times. */
    private static final double OWNER_CHANGES_PER_NODE_SECOND = 4 * 857 / 86_400.0 / 3_100;
    /** Message with a 64-bit digest, its type and its sender. */
    private record DigestMessage(String type, String sender, long digest) {}

    private final int nodes;
    private final int domains;
    private final int membersPerDomain;

    FleetCost(int nodes, int membersPerDomain) {
        this.nodes = nodes;
        this.membersPerDomain = membersPerDomain;
        this.domains = Math.max(1, nodes / membersPerDomain);
    }

    List<ControlCostMeasure.Sample> samples() {
        return List.of(measureDigests(), measureVersionLists(), measureTableDeltas(), measureStore());
    }

    private ControlCostMeasure.Sample measureDigests() {
        ReplicaStore replica = createReplica();
        byte[] message = Encodings.messagePack(new DigestMessage("digest", "domain-01-host-000", replica.digest()));
        double cpu = CpuTimer.microsPerCall(
                number -> Encodings.messagePack(new DigestMessage("digest", "domain-01-host-000", replica.digest())));
        // Each node sends one digest per exchange and on average receives one.
        return sample("digest exchange", cpu * 2 * EXCHANGES_PER_SECOND, 2 * message.length * EXCHANGES_PER_SECOND, 0);
    }

    /** Measures an upper bound: each change of a record causes one exchange per node to find a difference. */
    private ControlCostMeasure.Sample measureVersionLists() {
        ReplicaStore replica = createReplica();
        Map<String, Long> versions = replica.versions();
        byte[] message = Encodings.messagePack(versions);
        double cpu = CpuTimer.microsPerCall(number -> {
            Encodings.messagePack(replica.versions());
            replica.namesNewerAtPeer(versions);
            replica.recordsOlderAtPeer(versions);
        });
        double perSecond =
                Math.min(EXCHANGES_PER_SECOND, TABLE_CHANGES_PER_SECOND + OWNER_CHANGES_PER_NODE_SECOND * nodes);
        return sample("version lists", 2 * cpu * perSecond, 2 * message.length * perSecond, 0);
    }

    private ControlCostMeasure.Sample measureTableDeltas() {
        ReplicaStore.Entry before = new ReplicaStore.Entry(1, RecordCodec.encode(FleetData.table(1, 7)));
        ReplicaStore.Entry after = new ReplicaStore.Entry(2, RecordCodec.encode(FleetData.table(2, 8)));
        byte[] message = Encodings.messagePack(RecordDelta.between(before, after));
        double cpu = CpuTimer.microsPerCall(
                number -> Encodings.decode(message, RecordDelta.class).apply(before));
        return sample("table deltas", cpu * TABLE_CHANGES_PER_SECOND, message.length * TABLE_CHANGES_PER_SECOND, 0);
    }

    private ControlCostMeasure.Sample measureStore() {
        return sample("replica store", 0, 0, CpuTimer.retainedHeapKib(this::createReplica));
    }

    private ReplicaStore createReplica() {
        ReplicaStore store = new ReplicaStore();
        store.putIfNewer(RecordNames.TABLE, 1, RecordCodec.encode(FleetData.table(1, 0)));
        for (int i = 0; i < domains; i++) {
            String domain = "domain-" + i;
            RecordBytes owners = RecordCodec.encode(FleetData.owners(domain, membersPerDomain));
            store.putIfNewer(RecordNames.owners(domain), 1, owners);
            store.putIfNewer(
                    RecordNames.hosts(domain), 1, RecordCodec.encode(FleetData.endpoints(domain, membersPerDomain)));
        }
        return store;
    }

    private ControlCostMeasure.Sample sample(String duty, double cpu, double bytes, double memoryKib) {
        return new ControlCostMeasure.Sample(duty, "nodes", nodes, cpu, bytes, memoryKib);
    }
}
