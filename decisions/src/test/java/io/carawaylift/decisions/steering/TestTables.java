package io.carawaylift.decisions.steering;

import io.carawaylift.model.Rank;
import io.carawaylift.model.RegionRow;
import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;
import java.util.List;

/** Creates tables with one service and its upstreams a, b and c in one region. */
final class TestTables {
    private TestTables() {}

    static Table withWeights(int a, int b, int c) {
        return Table.builder()
                .put(new RegionRow("north", 1, 0))
                .put(new ServiceRow("s", Rank.STANDARD, List.of("GET"), 1_000))
                .put(upstream("a", a, 0, false))
                .put(upstream("b", b, 0, false))
                .put(upstream("c", c, 0, false))
                .maxShiftPercentPerSecond(10)
                .build();
    }

    static UpstreamRow upstream(String name, int weight, int maxInFlight, boolean drain) {
        return new UpstreamRow(name, "s", "north", "north-1", weight, maxInFlight, drain);
    }
}
