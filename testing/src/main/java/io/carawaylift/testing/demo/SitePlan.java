package io.carawaylift.testing.demo;

import io.carawaylift.model.LinkRow;
import io.carawaylift.model.Rank;
import io.carawaylift.model.RankRow;
import io.carawaylift.model.RegionRow;
import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Describes a site: its regions, failure domains, services and hosts.
 *
 * @param domains failure domains; hosts and endpoints are assigned to them round-robin in this order
 * @param linkMbit cap in Mbit/s of the link between two regions in each direction, 0 for no cap
 * @param floors floor of each rank in percent, for ranks that have one
 */
public record SitePlan(
        String name,
        List<Domain> domains,
        List<ServicePlan> services,
        int hosts,
        int linkMbit,
        Map<Rank, Integer> floors,
        List<String> customers) {
    private static final int REGION_WEIGHT = 100;
    private static final int SHIFT_PERCENT_PER_SECOND = 20;
    private static final long LOOKUP_LIFETIME_MILLIS = 2_000;

    public SitePlan {
        domains = List.copyOf(domains);
        services = List.copyOf(services);
        floors = Map.copyOf(floors);
        customers = List.copyOf(customers);
    }

    /** A failure domain and its region. */
    public record Domain(String name, String region) {}

    /**
     * A service and its endpoints.
     *
     * @param meanMs mean service time of a request at an endpoint, in milliseconds
     */
    public record ServicePlan(
            String name, Rank rank, int endpoints, int slots, int maxConnections, long maxDeadlineMs, long meanMs) {
        /** Returns the requests per second that all endpoints together can run. */
        public double capacity() {
            return endpoints * slots * 1000.0 / meanMs;
        }
    }

    /** Returns the regions in the order of their first failure domain. */
    public List<String> regions() {
        return domains.stream().map(Domain::region).distinct().toList();
    }

    /** Returns how many endpoints of a service are in the failure domain with this index. */
    public int endpointsIn(ServicePlan service, int domainIndex) {
        int remainder = service.endpoints() % domains.size();
        return service.endpoints() / domains.size() + (domainIndex < remainder ? 1 : 0);
    }

    /** Returns the name of the upstream of a service in a failure domain. */
    public String upstream(ServicePlan service, Domain domain) {
        return service.name() + "-" + domain.name();
    }

    /** Returns the initial table: regions of equal weight, upstreams weighted by their number of endpoints. */
    public Table table() {
        Table.Builder table = Table.builder()
                .maxShiftPercentPerSecond(SHIFT_PERCENT_PER_SECOND)
                .lookupLifetimeMs(LOOKUP_LIFETIME_MILLIS);
        regions().forEach(region -> table.put(new RegionRow(region, REGION_WEIGHT, 0)));
        for (ServicePlan service : services) {
            table.put(new ServiceRow(service.name(), service.rank(), List.of("GET", "HEAD"), service.maxDeadlineMs()));
            upstreams(service).forEach(table::put);
        }
        floors.forEach((rank, percent) -> table.put(new RankRow(rank, percent)));
        links().forEach(table::put);
        return table.build();
    }

    private List<UpstreamRow> upstreams(ServicePlan service) {
        List<UpstreamRow> rows = new ArrayList<>();
        for (int index = 0; index < domains.size(); index++) {
            Domain domain = domains.get(index);
            int weight = endpointsIn(service, index);
            if (weight > 0) {
                rows.add(new UpstreamRow(
                        upstream(service, domain), service.name(), domain.region(), domain.name(), weight, 0, false));
            }
        }
        return rows;
    }

    private List<LinkRow> links() {
        List<LinkRow> rows = new ArrayList<>();
        for (String from : regions()) {
            for (String to : regions()) {
                if (linkMbit > 0 && !from.equals(to)) {
                    rows.add(new LinkRow(from, to, linkMbit));
                }
            }
        }
        return rows;
    }
}
