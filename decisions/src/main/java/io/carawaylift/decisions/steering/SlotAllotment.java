package io.carawaylift.decisions.steering;

import io.carawaylift.model.EndpointList;
import io.carawaylift.model.Table;
import java.util.Collection;
import java.util.Map;

/**
 * Divides the limits of regions and upstreams over their endpoints by the largest remainder method. A function of table and
 * endpoint lists only, so that every host derives the same result.
 */
public final class SlotAllotment {
    private SlotAllotment() {}

    /** Returns usable slots by endpoint id; 0 for leaving endpoints, drained upstreams and upstreams not in the table. */
    public static Map<String, Integer> of(Table table, Collection<EndpointList> lists) {
        throw new UnsupportedOperationException();
    }
}
