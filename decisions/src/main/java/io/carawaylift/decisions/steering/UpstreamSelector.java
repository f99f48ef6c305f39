package io.carawaylift.decisions.steering;

import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Distributes the requests of each service over its upstreams by the shares in the table. A share rises no faster than the
 * table allows, and the other shares fall by the same amount, because every request needs an upstream. The share of a drained
 * or removed upstream drops to 0 at once and is divided among the others in proportion to their shares; their slots limit
 * what they take. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class UpstreamSelector {
    private final Map<String, ServiceShares> services = new HashMap<>();

    /** Creates a selector without a table; {@link #choose} returns empty until {@link #table} is called. */
    public UpstreamSelector() {}

    /** Sets the table. The shares of a service that was not in the previous table are in force at once. */
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
     * @param usable whether an upstream can take this request; for this request the others take the share of unusable ones
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
