package io.carawaylift.decisions.steering;

import io.carawaylift.decisions.Invariant;
import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.RegionRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the limits of regions and upstreams among their endpoints by the largest remainder method. The result depends on
 * the table and the endpoint lists only, so that every host computes the same one.
 */
public final class SlotAllocation {
    private SlotAllocation() {}

    /** Returns usable slots by endpoint id; 0 for draining endpoints, drained upstreams and upstreams not in the table. */
    public static Map<String, Integer> of(Table table, Collection<EndpointList> lists) {
        Map<String, UpstreamRow> upstreams = new TreeMap<>();
        table.upstreams().forEach(row -> upstreams.put(row.name(), row));
        Map<String, Integer> slots = new TreeMap<>();
        Map<String, List<String>> byUpstream = new TreeMap<>();
        Map<String, List<String>> byRegion = new TreeMap<>();
        for (EndpointList list : lists) {
            for (Endpoint endpoint : list.endpoints()) {
                UpstreamRow row = upstreams.get(endpoint.upstream());
                boolean usable = row != null && !row.drain() && !endpoint.leaving();
                slots.put(endpoint.id(), usable ? Math.max(0, endpoint.slots()) : 0);
                if (usable) {
                    byUpstream
                            .computeIfAbsent(row.name(), name -> new ArrayList<>())
                            .add(endpoint.id());
                    byRegion.computeIfAbsent(row.region(), name -> new ArrayList<>())
                            .add(endpoint.id());
                }
            }
        }
        byUpstream.forEach((name, ids) -> reduce(slots, ids, upstreams.get(name).maxInFlight()));
        byRegion.forEach((name, ids) -> reduce(
                slots, ids, table.region(name).map(RegionRow::maxInFlight).orElse(0)));
        return slots;
    }

    /** Reduces the slots of some endpoints to a limit, in proportion to their slots. */
    private static void reduce(Map<String, Integer> slots, List<String> ids, int limit) {
        long total = ids.stream().mapToLong(slots::get).sum();
        if (limit <= 0 || total <= limit) {
            return;
        }
        List<EndpointRemainder> remainders = new ArrayList<>();
        long allocated = 0;
        for (String id : ids) {
            long quota = (long) slots.get(id) * limit;
            remainders.add(new EndpointRemainder(id, quota % total));
            slots.put(id, (int) (quota / total));
            allocated += quota / total;
        }
        remainders.sort(EndpointRemainder.LARGEST_REMAINDER_FIRST);
        for (int i = 0; i < limit - allocated; i++) {
            slots.merge(remainders.get(i).id(), 1, Integer::sum);
        }
        long sum = ids.stream().mapToLong(slots::get).sum();
        Invariant.check(sum == limit, "allocated slots must equal the limit", sum);
    }

    private record EndpointRemainder(String id, long remainder) {
        /** Endpoint ids break ties, so that the result does not depend on the order of the lists. */
        private static final Comparator<EndpointRemainder> LARGEST_REMAINDER_FIRST = Comparator.comparingLong(
                        EndpointRemainder::remainder)
                .reversed()
                .thenComparing(EndpointRemainder::id);
    }
}
