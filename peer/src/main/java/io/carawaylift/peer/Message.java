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
     * @param reachesPlatform whether the host's last calls to the platform were answered
     * @param cores processor of the host in cores of usual speed
     * @param busySlots slots that the requests of the host's callers keep busy, by service
     */
    record HostReport(
            String host,
            String region,
            String failureDomain,
            long startedMillis,
            String callerAddress,
            boolean takesRequests,
            boolean reachesPlatform,
            double cores,
            Map<String, Double> busySlots)
            implements Message {
        public HostReport {
            busySlots = Map.copyOf(busySlots);
        }
    }

    /**
     * What a relay knows of the hosts of some regions.
     *
     * @param regions its own region, from the reports of the hosts, and others as their relays say
     */
    record RegionReports(List<RegionReport> regions) implements Message {
        public RegionReports {
            regions = List.copyOf(regions);
        }
    }

    /**
     * The living hosts of a region.
     *
     * @param hostsDigest tells whether the hosts changed since an earlier report of the same relay
     * @param hosts reports without the busy slots of each host; null if an earlier report has the same digest
     * @param busySlots slots that the requests of the region's callers keep busy, by service
     */
    record RegionReport(String region, long hostsDigest, List<HostReport> hosts, Map<String, Double> busySlots) {
        public RegionReport {
            hosts = hosts == null ? null : List.copyOf(hosts);
            busySlots = Map.copyOf(busySlots);
        }
    }

    /**
     * Changes of objects of one kind that the sender learned from the platform.
     *
     * @param kind kind of the objects in the platform
     */
    record ObjectChanges(String kind, List<ObjectChange> changes) implements Message {
        public ObjectChanges {
            changes = List.copyOf(changes);
        }
    }

    /**
     * A new version of an object, or its end.
     *
     * @param revision revision of the version, or of the last one of a deleted object
     * @param graceMillis for a deleted object the time for which it may still return, because the platform was away
     * @param value JSON, no bytes for a deleted object
     */
    record ObjectChange(String name, long revision, boolean deleted, long graceMillis, RecordBytes value) {}

    /**
     * What the sender knows of some kinds; all changes were sent to the receiver before.
     *
     * @param current whether the platform has just confirmed it to the sender
     */
    record ObjectPositions(boolean current, List<ObjectPosition> positions) implements Message {
        public ObjectPositions {
            positions = List.copyOf(positions);
        }
    }

    /**
     * What the sender knows of one kind.
     *
     * @param revision the platform's revision from which the sender continues
     * @param digest digest of the names and revisions of all objects
     */
    record ObjectPosition(String kind, long revision, long digest) {}

    /** Asks for all objects of a kind that the receiver knows, because the sender cannot reach the platform. */
    record ObjectsRequest(String kind) implements Message {}
}
