package io.carawaylift.peer;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.RecordBytes;
import java.util.List;
import java.util.Map;

/** A message between two of the project's processes. Sent as the number of its type and a MessagePack array. */
public sealed interface Message {
    /**
     * First message in each direction: what the sender says about itself.
     *
     * @param program {@code control}, {@code entry} or {@code lookup}
     * @param host id of the sender's host, null for a program of the same host
     * @param region region of the sender's host, null for a program of the same host
     * @param failureDomain failure domain of the sender's host, null for a program of the same host
     * @param controlAddress {@code host:port} at which a control program listens, null for the other programs
     * @param process entry process, null for the other programs
     * @param processId operating system's id of the sending process
     */
    record Hello(
            String program,
            String host,
            String region,
            String failureDomain,
            String controlAddress,
            EntryProcess process,
            long processId)
            implements Message {}

    /** Sent when nothing else was sent for the ping interval, so that the receiver can detect a silent connection. */
    record Ping() implements Message {}

    /** A heartbeat of an entry process, relayed to agents and successors. */
    record Heartbeat(MemberReport report) implements Message {}

    /**
     * The platform holds a heartbeat.
     *
     * @param ownersVersions versions of the {@code owners/} records read after the write, by record name
     */
    record HeartbeatConfirmed(EntryProcess process, long heartbeat, Map<String, Long> ownersVersions)
            implements Message {
        public HeartbeatConfirmed {
            ownersVersions = Map.copyOf(ownersVersions);
        }
    }

    /**
     * The control program of {@code successorHost} promises not to take over for one lease.
     *
     * @param ownersVersions versions of the {@code owners/} records known to the successor, by record name
     */
    record HeartbeatAcknowledged(
            EntryProcess process, String successorHost, long heartbeat, Map<String, Long> ownersVersions)
            implements Message {
        public HeartbeatAcknowledged {
            ownersVersions = Map.copyOf(ownersVersions);
        }
    }

    /** The process id of an entry process is gone on its own host. */
    record ProcessEnded(EntryProcess process) implements Message {}

    /** A record in full. */
    record RecordValue(String name, long version, RecordBytes value) implements Message {}

    /**
     * A record as the lines that differ from an older version.
     *
     * @param resultDigest digest of the newer value
     * @param edits changes in ascending order of lines of the older value
     */
    record RecordDelta(String name, long fromVersion, long toVersion, long resultDigest, List<LineEdit> edits)
            implements Message {
        public RecordDelta {
            edits = List.copyOf(edits);
        }
    }

    /**
     * Replaces lines of a record.
     *
     * @param line index of the first replaced line in the older value, from 0
     */
    record LineEdit(int line, int removed, List<String> added) {
        public LineEdit {
            added = List.copyOf(added);
        }
    }

    /** All records known to the sender have been sent, and it has learned them from the platform or a peer. */
    record RecordsComplete() implements Message {}

    /**
     * Digest of all names and versions of the sender.
     *
     * @param synchronizedOnce whether the sender has learned its records from the platform or a peer
     */
    record StoreDigest(long digest, boolean synchronizedOnce) implements Message {}

    /**
     * All names and versions of the sender.
     *
     * @param answer whether this answers another list, and needs no list in return
     */
    record StoreVersions(Map<String, Long> versions, boolean synchronizedOnce, boolean answer) implements Message {
        public StoreVersions {
            versions = Map.copyOf(versions);
        }
    }

    /** Asks for the named records in full. */
    record RecordRequest(List<String> names) implements Message {
        public RecordRequest {
            names = List.copyOf(names);
        }
    }

    /**
     * What a host that forwards requests says about itself, several times a second.
     *
     * @param host id of the host
     * @param startedMillis Unix milliseconds of the program's start; a higher one is a newer program
     * @param callerAddress {@code host:port} for callers' requests
     * @param takesRequests whether callers may be sent to the host
     * @param busySlots slots that the requests of the host's callers keep busy, by service
     */
    record HostReport(
            String host,
            String region,
            String failureDomain,
            long startedMillis,
            String callerAddress,
            boolean takesRequests,
            Map<String, Double> busySlots)
            implements Message {
        public HostReport {
            busySlots = Map.copyOf(busySlots);
        }
    }
}
