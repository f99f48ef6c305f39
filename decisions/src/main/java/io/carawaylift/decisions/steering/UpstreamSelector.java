package io.carawaylift.decisions.steering;

import io.carawaylift.model.Table;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses upstreams so that each service's requests land in the shares that the table wants. Shares rise no faster than
 * the table allows and fall at once. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class UpstreamSelector {
    /** Creates a selector without a table; it chooses nothing until {@link #table} is called. */
    public UpstreamSelector() {
        throw new UnsupportedOperationException();
    }

    /** Takes a new table. The shares of the first table are in force at once. */
    public void table(Table table, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /**
     * Chooses an upstream for one request.
     *
     * @param usable whether an upstream may take work now; unusable ones lose their share to the others for this request
     * @return name of the upstream, or empty if none is usable
     */
    public Optional<String> choose(String service, Predicate<String> usable, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Returns the shares in force now by upstream name; during a ramp they differ from the wanted ones. */
    public Map<String, Double> shares(String service, long nowNanos) {
        throw new UnsupportedOperationException();
    }
}
