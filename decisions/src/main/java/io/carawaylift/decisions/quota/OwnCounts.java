package io.carawaylift.decisions.quota;

import io.carawaylift.model.QuotaCount;
import java.util.Map;

/**
 * A host's report of its own counts. Immutable.
 *
 * @param report number of the report, by which sums say whether they include it
 * @param counts counts by customer, without customers that had no request in the window
 */
public record OwnCounts(long report, Map<String, QuotaCount> counts) {
    public OwnCounts {
        counts = Map.copyOf(counts);
    }
}
