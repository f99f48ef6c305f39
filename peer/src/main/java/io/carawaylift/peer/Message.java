package io.carawaylift.peer;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.QuotaCount;
import io.carawaylift.model.RecordBytes;
import java.util.List;
import java.util.Map;

/**
 * A message between two processes of the project. Sent as the number of its {@link MessageType} and a MessagePack array
 * of the components, so their order is part of the protocol.
 */
public sealed interface Message {
    /**
     * Identifies the sender; the first message in each direction.
     *
     * @param program {@code control}, {@code entry} or {@code lookup}
     * @param host id of the sender's host, null for a program of the same host
     * @param region region of the sender's host, null for a program of the same host
     * @param failureDomain failure domain of the sender's host, null for a program of the same host
     * @param controlAddress {@code host:port} at which a control program listens, null for the other programs
     * @param process entry process, null for the other programs
     * @param processId operating system process id of the sender
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

    /**
     * Sent when nothing else was sent for the ping interval, so that the receiver can detect an unresponsive
     * connection.
     */
    record Ping() implements Message {}

    /** A heartbeat of an entry process, relayed to agents and successors. */
    record Heartbeat(MemberReport report) implements Message {}

    /**
     * Confirms that a heartbeat was written to the platform.
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
     * Guarantees that the control program of {@code successorHost} does not take over for one lease.
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

    /** The operating system process of an entry process has terminated; sent by the control program of its host. */
    record ProcessEnded(EntryProcess process) implements Message {}

    /** A complete record. */
    record RecordValue(String name, long version, RecordBytes value) implements Message {}

    /**
     * A new version of a record, as the lines that differ from an older version.
     *
     * @param resultDigest digest of the newer value
     * @param edits replaced lines, in ascending order of their index in the older value
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
     * @param removed number of lines of the older value that are replaced
     * @param added lines of the newer value
     */
    record LineEdit(int line, int removed, List<String> added) {
        public LineEdit {
            added = List.copyOf(added);
        }
    }

    /** All records of the sender have been sent, and the sender has synchronized with the platform or a peer. */
    record RecordsComplete() implements Message {}

    /**
     * Digest of all record names and versions of the sender.
     *
     * @param synchronizedOnce whether the sender has ever synchronized with the platform or a peer
     */
    record StoreDigest(long digest, boolean synchronizedOnce) implements Message {}

    /**
     * All record names and versions of the sender.
     *
     * @param synchronizedOnce whether the sender has ever synchronized with the platform or a peer
     * @param answer whether this is the reply to such a message, which must not be replied to
     */
    record StoreVersions(Map<String, Long> versions, boolean synchronizedOnce, boolean answer) implements Message {
        public StoreVersions {
            versions = Map.copyOf(versions);
        }
    }

    /** Requests the complete records with these names. */
    record RecordRequest(List<String> names) implements Message {
        public RecordRequest {
            names = List.copyOf(names);
        }
    }

    /**
     * State of a host that forwards requests, sent several times a second.
     *
     * @param host id of the host
     * @param startedMillis Unix time in milliseconds at which the program started; a higher value is a newer
     *     incarnation
     * @param callerAddress {@code host:port} that accepts requests of callers
     * @param takesRequests whether callers may be sent to the host
     * @param reachesPlatform whether the latest calls of the host to the platform succeeded
     * @param cores processor capacity of the host, in cores of the reference speed
     * @param busySlots slots occupied by requests of the host's callers, by service
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
     * Reports of a relay on the hosts of regions.
     *
     * @param regions the own region as reported by its hosts, and other regions as reported by their relays
     */
    record RegionReports(List<RegionReport> regions) implements Message {
        public RegionReports {
            regions = List.copyOf(regions);
        }
    }

    /**
     * The live hosts of a region.
     *
     * @param hostsDigest digest of the hosts, which changes when they do; comparable between reports of the same relay
     *     only
     * @param hosts reports without the busy slots of each host; null if an earlier report has the same digest
     * @param busySlots slots occupied by requests of the region's callers, by service
     */
    record RegionReport(String region, long hostsDigest, List<HostReport> hosts, Map<String, Double> busySlots) {
        public RegionReport {
            hosts = hosts == null ? null : List.copyOf(hosts);
            busySlots = Map.copyOf(busySlots);
        }
    }

    /**
     * Changes of objects of one kind that the sender received from the platform.
     *
     * @param kind kind of the objects in the platform
     * @param era era of the platform's store that {@code revision} belongs to, 0 if it names none
     * @param revision platform revision at which the deleted objects were gone, or a later one
     */
    record ObjectChanges(String kind, long era, long revision, List<ObjectChange> changes) implements Message {
        public ObjectChanges {
            changes = List.copyOf(changes);
        }
    }

    /**
     * A new version of an object, or its deletion.
     *
     * @param era era of the platform's store that {@code revision} belongs to, 0 if it names none
     * @param revision revision of the version, or of the last one of a deleted object
     * @param graceMillis for a deleted object, how long it may still reappear because the platform was unavailable
     * @param value JSON; empty for a deleted object
     */
    record ObjectChange(String name, long era, long revision, boolean deleted, long graceMillis, RecordBytes value) {}

    /**
     * Positions of the sender in the changes of some kinds, sent after all changes up to them.
     *
     * @param current whether the sender holds its view of these kinds current: it follows the platform, and each of its
     *     calls for them is answered
     * @param ageMillis time since the platform last responded to the sender, for any kind
     */
    record ObjectPositions(boolean current, long ageMillis, List<ObjectPosition> positions) implements Message {
        public ObjectPositions {
            positions = List.copyOf(positions);
        }
    }

    /**
     * Position of the sender in the changes of one kind.
     *
     * @param era era of the platform's store that {@code revision} belongs to, 0 if it names none
     * @param revision platform revision from which the sender continues to watch
     * @param digest digest of the names, eras and revisions of all objects
     */
    record ObjectPosition(String kind, long era, long revision, long digest) {}

    /**
     * An endpoint announced in a response that it is about to stop. A relay passes the message on once.
     *
     * @param endpoint id of the endpoint
     * @param startedMillis Unix time in milliseconds at which the endpoint started, 0 if unknown; the message concerns no
     *     other incarnation
     */
    record EndpointLeaving(String endpoint, long startedMillis) implements Message {}

    /** Requests all objects of a kind that the receiver knows; sent by a process that cannot reach the platform. */
    record ObjectsRequest(String kind) implements Message {}

    /**
     * Asks a host when its configuration was last proved to be that of the platform. A proof must be asked for, because
     * a message that is sent unasked may be delayed for seconds.
     *
     * @param token identifies the request in the reply
     */
    record FreshnessRequest(long token) implements Message {}

    /**
     * Replies to a {@link FreshnessRequest}; not sent by a host without a usable proof.
     *
     * @param digest digest of the configuration's names and revisions; the reply proves nothing to a host with another
     * @param ageMillis time since the proof, measured by the sender
     * @param version version of the configuration in force at the sender; the reply proves nothing to a host with a
     *     lower one
     */
    record FreshnessReply(long token, long digest, long ageMillis, long version) implements Message {}

    /**
     * Counts of the requests of limited customers at a host, for the relays of its region.
     *
     * @param report number of the report, higher than those of all earlier ones of the host
     * @param counts counts by customer, of those that had requests in the quota window
     */
    record QuotaReport(long report, Map<String, QuotaCount> counts) implements Message {
        public QuotaReport {
            counts = Map.copyOf(counts);
        }
    }

    /**
     * Sums of counts from a relay: over all hosts for hosts of its region, over the hosts of its region for others.
     *
     * @param report number of the sender's last report
     * @param includedReport number of the receiver's last report that the sender received, which proves that the sums
     *     are newer than that report; 0 if none
     * @param hosts number of hosts whose recent counts are included
     * @param counts sums by customer, of those that had requests in the quota window
     */
    record QuotaSums(long report, long includedReport, int hosts, Map<String, QuotaCount> counts) implements Message {
        public QuotaSums {
            counts = Map.copyOf(counts);
        }
    }
}
