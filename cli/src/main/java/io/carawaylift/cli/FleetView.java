package io.carawaylift.cli;

import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import io.carawaylift.platform.PlatformChanges;
import io.carawaylift.platform.PlatformClient;
import io.carawaylift.platform.StoredObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Snapshot of the entry hosts as stored in the platform. The records are read one by one, not atomically.
 *
 * @param members members from the ownership records, sorted by process
 * @param reports reports of the members, as recorded per failure domain
 * @param endpoints endpoints of each failure domain
 * @param owners ownership records
 */
record FleetView(
        List<Member> members, List<MemberReport> reports, List<EndpointList> endpoints, List<OwnersRecord> owners) {
    static FleetView read(PlatformClient platform) {
        List<OwnersRecord> owners = readAll(platform, RecordNames.OWNERS_PREFIX, OwnersRecord.class);
        List<DomainRecord> domains = readAll(platform, RecordNames.DOMAIN_PREFIX, DomainRecord.class);
        List<EndpointList> endpoints = readAll(platform, RecordNames.HOSTS_PREFIX, EndpointList.class);
        List<Member> members = owners.stream()
                .flatMap(record -> record.members().stream())
                .sorted(Comparator.comparing(member -> member.process().toString()))
                .toList();
        List<MemberReport> reports =
                domains.stream().flatMap(record -> record.members().stream()).toList();
        return new FleetView(members, reports, endpoints, owners);
    }

    /**
     * Returns the hosts of live members that have not reported {@code version} of the table, or a newer one, in force.
     * Suspected members do not count as live.
     */
    List<String> hostsWithOlderTable(long version) {
        List<String> hosts = new ArrayList<>();
        for (Member member : members) {
            boolean live = member.state() != MemberState.SUSPECTED;
            if (live && report(member).map(MemberReport::tableVersion).orElse(0L) < version) {
                hosts.add(member.process().host());
            }
        }
        return hosts;
    }

    /** Returns the report of a member with the highest heartbeat, or empty if there is none. */
    Optional<MemberReport> report(Member member) {
        return reports.stream()
                .filter(report -> report.member().process().equals(member.process()))
                .max(Comparator.comparingLong(MemberReport::heartbeat));
    }

    private static <T> List<T> readAll(PlatformClient platform, String prefix, Class<T> type) {
        List<CompletableFuture<Optional<StoredObject>>> reads = new ArrayList<>();
        for (PlatformChanges.ObjectVersion change :
                Futures.await(platform.list(prefix)).changes()) {
            reads.add(platform.read(change.name()));
        }
        return reads.stream()
                .map(Futures::await)
                .flatMap(Optional::stream)
                .map(object -> RecordCodec.decode(object.value(), type))
                .toList();
    }
}
