package io.carawaylift.entry;

import io.carawaylift.decisions.steering.SlotAllocation;
import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import io.carawaylift.model.Rank;
import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Snapshot of table, endpoints, members and owners, derived from the records. Immutable. */
final class Topology {
    private final long tableVersion;
    private final Table table;
    private final Map<EntryProcess, Member> members = new LinkedHashMap<>();
    private final Map<String, List<EndpointSlots>> endpoints = new LinkedHashMap<>();
    private final Map<String, Map<EntryProcess, Integer>> ownerSlots = new HashMap<>();
    private final Map<String, Ownership> owners = new HashMap<>();
    private final Map<String, String> upstreamOfEndpoint = new HashMap<>();

    /**
     * An endpoint and its slots.
     *
     * @param slots slots that all limits of the table permit
     */
    record EndpointSlots(Endpoint endpoint, int slots) {}

    Topology(
            long tableVersion,
            Table table,
            Collection<EndpointList> endpointLists,
            Collection<OwnersRecord> ownersRecords) {
        this.tableVersion = tableVersion;
        this.table = table;
        Map<String, Integer> allocatedSlots = SlotAllocation.of(table, endpointLists);
        for (OwnersRecord record : ownersRecords) {
            record.members().forEach(member -> members.put(member.process(), member));
            record.endpoints().forEach(ownership -> owners.put(ownership.endpoint(), ownership));
        }
        for (EndpointList list : endpointLists) {
            list.endpoints().forEach(endpoint -> add(endpoint, allocatedSlots.getOrDefault(endpoint.id(), 0)));
        }
    }

    private void add(Endpoint endpoint, int slots) {
        upstreamOfEndpoint.put(endpoint.id(), endpoint.upstream());
        endpoints
                .computeIfAbsent(endpoint.upstream(), name -> new ArrayList<>())
                .add(new EndpointSlots(endpoint, slots));
        Ownership ownership = owners.get(endpoint.id());
        if (ownership != null && ownership.owner() != null && ownership.next() == null) {
            int usable = ownership.mode() == OwnershipMode.HALF ? slots / 2 : slots;
            ownerSlots
                    .computeIfAbsent(endpoint.upstream(), name -> new LinkedHashMap<>())
                    .merge(ownership.owner(), usable, Integer::sum);
        }
    }

    long tableVersion() {
        return tableVersion;
    }

    Table table() {
        return table;
    }

    Optional<Member> member(EntryProcess process) {
        return Optional.ofNullable(members.get(process));
    }

    /** Returns the usable slots of an upstream per owner. */
    Map<EntryProcess, Integer> ownersOf(String upstream) {
        return ownerSlots.getOrDefault(upstream, Map.of());
    }

    /** Returns the endpoints of an upstream that a process owns. */
    List<EndpointSlots> endpointsOwnedBy(EntryProcess process, String upstream) {
        return endpoints.getOrDefault(upstream, List.of()).stream()
                .filter(slots -> isOwner(process, slots.endpoint().id()))
                .toList();
    }

    /** Returns whether a process owns any endpoint. */
    boolean ownsAny(EntryProcess process) {
        return owners.values().stream().anyMatch(ownership -> process.equals(ownership.owner()));
    }

    /** Returns the max deadline of an endpoint's service, or the max of all services if the endpoint is unknown. */
    long maxDeadlineMillis(String endpoint) {
        Optional<Long> known = Optional.ofNullable(upstreamOfEndpoint.get(endpoint))
                .flatMap(table::upstream)
                .map(UpstreamRow::service)
                .flatMap(table::service)
                .map(ServiceRow::maxDeadlineMs);
        return known.orElseGet(() -> table.services().stream()
                .mapToLong(ServiceRow::maxDeadlineMs)
                .max()
                .orElse(0));
    }

    Map<Rank, Double> floors() {
        Map<Rank, Double> floors = new EnumMap<>(Rank.class);
        for (Rank rank : Rank.values()) {
            floors.put(rank, table.floor(rank));
        }
        return floors;
    }

    /** Returns the number of members of a region whose leases have not expired. */
    int liveMembers(String region) {
        return (int) members.values().stream()
                .filter(member -> member.region().equals(region) && member.state() != MemberState.SUSPECTED)
                .count();
    }

    private boolean isOwner(EntryProcess process, String endpoint) {
        Ownership ownership = owners.get(endpoint);
        return ownership != null && process.equals(ownership.owner());
    }
}
