package io.carawaylift.decisions.quota;

import io.carawaylift.model.QuotaCount;
import java.util.Map;

/**
 * Counts of several hosts. Immutable.
 *
 * @param hosts number of hosts whose recent reports are included
 * @param counts sum of the counts by customer, also of hosts that no longer report while their requests are in the window
 */
public record QuotaTotals(int hosts, Map<String, QuotaCount> counts) {
    public QuotaTotals {
        counts = Map.copyOf(counts);
    }
}
