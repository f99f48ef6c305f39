package io.carawaylift.decisions.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.fleet.ProcessingTimes;
import io.carawaylift.decisions.route.RequestKind;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class ServiceRoutesTest {
    private static final long SECOND = 1_000_000_000L;

    private final ServiceRoutes routes = new ServiceRoutes("desks", new ProcessingTimes(500));

    private RouteLoad route(String name, int priority, long targetMillis) {
        return routes.route(name, RequestKind.SAFE, priority, targetMillis, 0);
    }

    /** Guards against floor maps (180 ms) and reports (1,097 ms) of one service that share an estimate. */
    @Test
    void eachRouteHasItsOwnProcessingTimes() {
        RouteLoad maps = route("maps", 0, 200);
        RouteLoad reports = route("reports", 1, 1000);
        for (int i = 0; i < 300; i++) {
            maps.times().add(false, 180);
            reports.times().add(false, 1097);
        }

        assertThat(maps.times().expectedMillis(false)).isWithin(1).of(180);
        assertThat(reports.times().expectedMillis(false)).isWithin(1).of(1097);
    }

    /** Guards against estimates that are learned again with each configuration that renames routes. */
    @Test
    void aRenamedRouteStartsWithTheEstimatesOfItsKind() {
        for (int i = 0; i < 300; i++) {
            route("maps", 0, 200).times().add(false, 180);
        }
        RouteLoad renamed = route("maps-2", 0, 200);

        assertThat(renamed.times().expectedMillis(false)).isWithin(1).of(180);
        renamed.times().add(false, 500);
        assertThat(route("maps", 0, 200).times().expectedMillis(false))
                .isWithin(1)
                .of(180);
    }

    /** Guards against state that grows with each configuration. */
    @Test
    void theNumberOfRoutesIsBounded() {
        for (int i = 0; i < 2000; i++) {
            route("route-" + i, i, 200);
        }

        assertThat(routes.busySlotsByRank().size()).isAtMost(256);
    }

    /** Load of the desk booking service: reports that hold 9 of 10 slots must leave what floor maps need. */
    @Test
    void whatMoreUrgentRoutesNeedIsReservedWithAMargin() {
        route("maps", 0, 200);
        route("reports", 1, 1000);
        assertThat(routes.busySlotsByRank().keySet()).containsExactly("desks#rank0");
        routes.updateReserve(
                Map.of("a", Map.of("desks#rank0", 20.0, "desks", 300.0), "b", Map.of("desks#rank0", 10.0)), 296);

        assertThat(routes.reservedFraction(0)).isEqualTo(0);
        assertThat(routes.reservedFraction(1)).isWithin(0.001).of((30 + 1.5 * Math.sqrt(30)) / 296);
        routes.updateReserve(Map.of("a", Map.of("desks#rank0", 900.0, "desks#rankX", 1.0)), 296);
        assertThat(routes.reservedFraction(1)).isEqualTo(0.5);
    }

    /** Guards against a demand that is weighted with the processing time of another route. */
    @Test
    void busySlotsAreTheSumOverTheRoutes() {
        RouteLoad maps = route("maps", 0, 200);
        RouteLoad reports = route("reports", 1, 1000);
        for (int i = 0; i < 2000; i++) {
            maps.arrived(0);
            reports.arrived(0);
        }
        routes.updateRates(20 * SECOND);

        assertThat(routes.busySlots()).isWithin(2).of(100 * 0.2 + 100 * 1.0);
    }
}
