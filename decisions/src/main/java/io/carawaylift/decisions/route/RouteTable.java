package io.carawaylift.decisions.route;

import io.carawaylift.decisions.customer.CustomerDirectory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Routes, services, limits and customers of one version of the configuration. Immutable. */
public final class RouteTable {
    private final long version;
    private final int size;
    private final Map<String, PathPrefixes> prefixesByHost;
    private final Map<String, ServiceProfile> services;
    private final CallerLimits limits;
    private final CustomerDirectory customers;

    /** Creates a table. Of two routes with the same host and prefix, the first one applies. */
    public RouteTable(
            long version,
            List<Route> routes,
            List<ServiceProfile> services,
            CallerLimits limits,
            CustomerDirectory customers) {
        this.version = version;
        this.customers = customers;
        this.limits = limits;
        this.size = routes.size();
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Map<String, PathPrefixes> prefixes = new HashMap<>();
        byHost.forEach((host, ofHost) -> prefixes.put(host, new PathPrefixes(ofHost)));
        this.prefixesByHost = Map.copyOf(prefixes);
        Map<String, ServiceProfile> byName = new HashMap<>();
        services.forEach(service -> byName.put(service.name(), service));
        this.services = Map.copyOf(byName);
    }

    /** Returns the version; a higher one is newer. */
    public long version() {
        return version;
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the customers, and whether requests need their keys. */
    public CustomerDirectory customers() {
        return customers;
    }

    /** Returns the number of routes. */
    public int size() {
        return size;
    }

    /** Returns the service with the name, empty if the configuration has none. */
    public Optional<ServiceProfile> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the route of the host with the longest prefix of the path, empty if none matches. Costs one look-up for
     * the host and one for each prefix of the path, whatever the number of routes.
     *
     * @param host value of the Host header; case and port are ignored
     * @param target request target in origin form; the query is ignored
     */
    public Optional<Route> match(String host, String target) {
        String name = withoutPort(host).toLowerCase(Locale.ROOT);
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        PathPrefixes prefixes = prefixesByHost.get(name);
        return prefixes == null ? Optional.empty() : prefixes.longestOf(path);
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
