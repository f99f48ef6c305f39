package io.carawaylift.decisions.steering;

import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses upstreams so that each service's requests land in the shares that the table wants. Shares rise no faster than
 * the table allows, and others fall by as much, because every request needs an upstream. Upstreams that are drained or
 * removed fall to 0 at once; the others then take their share in proportion, which their slots bound. Times are monotonic
 * nanoseconds. Not thread-safe.
 */
public final class UpstreamSelector {
    private final Map<String, ServiceShares> services = new HashMap<>();

    /** Creates a selector without a table; it chooses nothing until {@link #table} is called. */
    public UpstreamSelector() {}

    /** Takes a new table. The shares of the first table are in force at once. */
    public void table(Table table, long nowNanos) {
        double maxRisePerSecond = table.maxShiftPercentPerSecond() / 100.0;
        Map<String, ServiceShares> previous = new HashMap<>(services);
        services.clear();
        for (ServiceRow service : table.services()) {
            Map<String, Double> wanted = table.wantedShares(service.name());
            ServiceShares shares = previous.get(service.name());
            if (shares == null) {
                shares = new ServiceShares(wanted, maxRisePerSecond, nowNanos);
            } else {
                shares.updateWanted(wanted, name -> !isDrained(table, name), maxRisePerSecond, nowNanos);
            }
            services.put(service.name(), shares);
        }
    }

    /**
     * Chooses an upstream for one request.
     *
     * @param usable whether an upstream may take work now; unusable ones lose their share to the others for this request
     * @return name of the upstream, or empty if none is usable
     */
    public Optional<String> choose(String service, Predicate<String> usable, long nowNanos) {
        ServiceShares shares = services.get(service);
        if (shares == null) {
            return Optional.empty();
        }
        shares.advance(nowNanos);
        return shares.choose(usable);
    }

    /** Returns the shares in force now by upstream name; during a ramp they differ from the wanted ones. */
    public Map<String, Double> shares(String service, long nowNanos) {
        ServiceShares shares = services.get(service);
        if (shares == null) {
            return Map.of();
        }
        shares.advance(nowNanos);
        return shares.shares();
    }

    private static boolean isDrained(Table table, String upstream) {
        return table.upstream(upstream).map(UpstreamRow::drain).orElse(true);
    }
}
