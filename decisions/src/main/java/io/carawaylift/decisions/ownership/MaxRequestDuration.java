package io.carawaylift.decisions.ownership;

import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Computes the maximum time for which a request may occupy a slot of an endpoint. */
public final class MaxRequestDuration {
    private MaxRequestDuration() {}

    /**
     * Returns the longest deadline of the endpoint's service in nanoseconds. An endpoint that is not listed or not in
     * the table gets the longest deadline of all services, because its requests may still run.
     */
    public static long nanos(String endpoint, EndpointList list, Table table) {
        Optional<ServiceRow> service = list.endpoints().stream()
                .filter(listed -> listed.id().equals(endpoint))
                .findFirst()
                .map(Endpoint::upstream)
                .flatMap(table::upstream)
                .map(UpstreamRow::service)
                .flatMap(table::service);
        long millis = service.map(ServiceRow::maxDeadlineMs).orElseGet(() -> longest(table));
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static long longest(Table table) {
        return table.services().stream()
                .mapToLong(ServiceRow::maxDeadlineMs)
                .max()
                .orElse(0);
    }
}
