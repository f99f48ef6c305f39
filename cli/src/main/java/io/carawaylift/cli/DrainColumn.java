package io.carawaylift.cli;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;

/** Sets the column {@code drain} of an upstream row. */
final class DrainColumn {
    private DrainColumn() {}

    static Table set(Table table, String upstream, boolean drain) {
        UpstreamRow row = table.upstream(upstream)
                .orElseThrow(() -> new CarawayliftException(
                        ResultCode.NOT_FOUND, "the accepted table has no upstream '" + upstream + "'"));
        UpstreamRow changed = new UpstreamRow(
                row.name(), row.service(), row.region(), row.failureDomain(), row.weight(), row.maxInFlight(), drain);
        return table.toBuilder().put(changed).build();
    }
}
