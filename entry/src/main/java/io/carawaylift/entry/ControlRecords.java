package io.carawaylift.entry;

import io.carawaylift.model.AcceptedTable;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import io.carawaylift.peer.ControlLink;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Applies the records and heartbeat confirmations that the control program sends. Records take effect only after the
 * first synchronization, because some could be missing before. Losing the connection needs no action here: the lease
 * guard reduces the slots as leases expire.
 */
final class ControlRecords implements ControlLink.Listener {
    private static final Logger LOG = System.getLogger(ControlRecords.class.getName());

    private final SynchronizedLeaseGuard leases;
    private final Consumers consumers;
    private final Map<String, Long> recordVersions = new HashMap<>();
    private final Map<String, Long> appliedOwnersVersions = new HashMap<>();
    private final Map<String, EndpointList> endpointLists = new TreeMap<>();
    private final Map<String, OwnersRecord> ownersRecords = new TreeMap<>();
    private AcceptedTable table;
    private boolean isSynchronized;

    /** Receives changes. */
    interface Consumers {
        /** Called with a new topology. */
        void topologyChanged(Topology topology);

        /** Called when the platform has stored a heartbeat of this process. */
        void heartbeatConfirmed(long heartbeat);

        /** Called when a record violates a rule of the leases. */
        void invariantViolated(String name, RuntimeException fault);
    }

    ControlRecords(SynchronizedLeaseGuard leases, Consumers consumers) {
        this.leases = leases;
        this.consumers = consumers;
    }

    @Override
    public synchronized void recordChanged(String name, long version, RecordBytes value) {
        if (version <= recordVersions.getOrDefault(name, 0L)) {
            return;
        }
        try {
            decode(name, value);
        } catch (IllegalArgumentException e) {
            LOG.log(Level.ERROR, "record " + name + " version " + version + " cannot be decoded and is not applied", e);
            return;
        }
        recordVersions.put(name, version);
        if (isSynchronized && !name.startsWith(RecordNames.BLOCKS_PREFIX)) {
            apply();
        }
    }

    @Override
    public void platformConfirmed(long heartbeat, Map<String, Long> ownersVersions) {
        leases.platformConfirmed(heartbeat, ownersVersions);
        consumers.heartbeatConfirmed(heartbeat);
    }

    @Override
    public void successorAcknowledged(String successorHost, long heartbeat) {
        leases.successorAcknowledged(successorHost, heartbeat);
    }

    @Override
    public synchronized void synchronizedWithControl() {
        isSynchronized = true;
        apply();
    }

    @Override
    public void disconnected() {
        LOG.log(Level.WARNING, "connection to the control program was lost");
    }

    private void decode(String name, RecordBytes value) {
        if (name.equals(RecordNames.TABLE)) {
            table = RecordCodec.decode(value, AcceptedTable.class);
        } else if (name.startsWith(RecordNames.HOSTS_PREFIX)) {
            endpointLists.put(name, RecordCodec.decode(value, EndpointList.class));
        } else if (name.startsWith(RecordNames.OWNERS_PREFIX)) {
            ownersRecords.put(name, RecordCodec.decode(value, OwnersRecord.class));
        }
    }

    private void apply() {
        if (table == null) {
            return;
        }
        Topology topology =
                new Topology(table.version(), table.table(), endpointLists.values(), ownersRecords.values());
        ownersRecords.forEach((name, record) -> {
            long version = recordVersions.get(name);
            if (version > appliedOwnersVersions.getOrDefault(name, 0L)) {
                appliedOwnersVersions.put(name, version);
                applyOwners(name, version, record, topology);
            }
        });
        consumers.topologyChanged(topology);
    }

    /**
     * Applies one owners record. A record that violates the lease rules is a fault of this program; the other records
     * must still take effect.
     */
    private void applyOwners(String name, long version, OwnersRecord record, Topology topology) {
        try {
            leases.ownersChanged(name, version, record, topology);
        } catch (CarawayliftException e) {
            consumers.invariantViolated(name, e);
        }
    }
}
