package io.carawaylift.decisions.steering;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.RegionRow;
import io.carawaylift.model.Table;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class SlotAllocationTest {
    private static final EndpointList LIST = new EndpointList(
            "north-1",
            "north",
            List.of(
                    endpoint("a1", "a", 5, false),
                    endpoint("a2", "a", 5, false),
                    endpoint("a3", "a", 5, true),
                    endpoint("b1", "b", 3, false),
                    endpoint("x1", "unknown", 3, false)),
            List.of());

    /** Guards against slots for endpoints that take no new work, and against unused slots. The id breaks the tie of a2 and b1. */
    @Test
    void limitsOfUpstreamAndRegionAreDividedExactly() {
        Table table = TestTables.withWeights(1, 1, 1).toBuilder()
                .put(TestTables.upstream("a", 1, 7, false))
                .build();

        assertThat(SlotAllocation.of(table, List.of(LIST)))
                .containsExactly("a1", 4, "a2", 3, "a3", 0, "b1", 3, "x1", 0);

        Table limited = table.toBuilder().put(new RegionRow("north", 1, 5)).build();
        Map<String, Integer> slots = SlotAllocation.of(limited, List.of(LIST));
        assertThat(slots.values().stream().mapToInt(n -> n).sum()).isEqualTo(5);
        assertThat(slots).containsExactly("a1", 2, "a2", 2, "a3", 0, "b1", 1, "x1", 0);
    }

    /** Guards against hosts that compute different slots because their lists are ordered differently. */
    @Test
    void theOrderOfTheListsHasNoInfluence() {
        Table table = TestTables.withWeights(1, 1, 1).toBuilder()
                .put(new RegionRow("north", 1, 7))
                .build();
        EndpointList other = new EndpointList("north-2", "north", List.of(endpoint("c1", "c", 4, false)), List.of());

        assertThat(SlotAllocation.of(table, List.of(LIST, other)))
                .isEqualTo(SlotAllocation.of(table, List.of(other, LIST)));
    }

    private static Endpoint endpoint(String id, String upstream, int slots, boolean leaving) {
        return new Endpoint(id, upstream, "http://127.0.0.1:1", slots, 360, leaving);
    }
}
