package io.carawaylift.decisions.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.dispatch.ServiceDispatcher.Decision;
import io.carawaylift.decisions.dispatch.ServiceDispatcher.Verdict;
import io.carawaylift.decisions.fleet.EndpointEntry;
import io.carawaylift.decisions.fleet.EndpointPicker;
import io.carawaylift.decisions.fleet.EndpointRegistry;
import io.carawaylift.decisions.fleet.EndpointStatus;
import io.carawaylift.decisions.fleet.ProcessingTimes;
import io.carawaylift.decisions.fleet.RegionShares;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class ServiceDispatcherTest {
    private static final long MILLI = 1_000_000L;

    private final EndpointRegistry registry = new EndpointRegistry();
    private final RegionShares shares = new RegionShares("home", 0.5, 0.0375);
    private final ServiceDispatcher dispatcher = ServiceDispatcher.builder()
            .service("service")
            .picker(new EndpointPicker(registry, "zone-a"))
            .processingTimes(new ProcessingTimes(500))
            .shares(shares)
            .regions(List.of("home", "away"))
            .build();

    private EndpointStatus add(String id, String region) {
        registry.put(new EndpointEntry(id, 1, "service", "10.0.0.1", 80, "zone-" + region, region, 2, false, 0), 0);
        shares.update(Map.of("home", 2.0), Map.of("home", 0.5), 1, 0);
        return registry.find(id).orElseThrow();
    }

    private static void occupy(EndpointStatus endpoint, int requests) {
        for (int i = 0; i < requests; i++) {
            endpoint.requestSent("", 0);
        }
    }

    private static DispatchRequest request(long deadlineMillis) {
        return DispatchRequest.builder()
                .object("object")
                .targetMillis(500)
                .timeoutMillis(2000)
                .deadlineNanos(deadlineMillis * MILLI)
                .build();
    }

    @Test
    void aRequestIsSentToAnEndpointWithAFreeSlot() {
        EndpointStatus endpoint = add("e-1", "home");
        Decision decision = dispatcher.decide(request(2000), 0);

        assertThat(decision.verdict()).isEqualTo(Verdict.SEND);
        assertThat(decision.choice().orElseThrow().endpoint()).isSameInstanceAs(endpoint);
    }

    /** Guards against a caller that waits in vain. */
    @Test
    void aRequestForAServiceWithoutEndpointsIsRefusedAtOnce() {
        assertThat(dispatcher.decide(request(2000), 0).verdict()).isEqualTo(Verdict.REFUSE);
    }

    /** Guards against work at an endpoint whose response its caller no longer waits for. */
    @Test
    void aRequestWithLessTimeThanTheProcessingTakesIsRefusedAtOnce() {
        add("e-1", "home");
        DispatchRequest late = request(100);

        assertThat(dispatcher.decide(late, 0).verdict()).isEqualTo(Verdict.REFUSE);
    }

    /** Guards against work that is cut off because the host ends before its response, also for a request that waits. */
    @Test
    void aRequestIsRefusedIfTheHostMayEndBeforeItsResponse() {
        add("e-1", "home");
        ServiceDispatcher ending = ServiceDispatcher.builder()
                .service("service")
                .picker(new EndpointPicker(registry, "zone-a"))
                .processingTimes(new ProcessingTimes(500))
                .shares(shares)
                .regions(List.of("home", "away"))
                .remainingNanos(now -> 5000 * MILLI - now)
                .build();

        assertThat(ending.decide(request(9000), 4200 * MILLI).verdict()).isEqualTo(Verdict.SEND);
        assertThat(ending.decide(request(9000), 4300 * MILLI).verdict()).isEqualTo(Verdict.REFUSE);
        assertThat(ending.decide(request(9000), 5100 * MILLI).verdict()).isEqualTo(Verdict.REFUSE);
    }

    @Test
    void aRequestWaitsWhileItsEndpointIsOverloadedAndIsThenRefused() {
        occupy(add("e-1", "home"), 20);
        DispatchRequest request = request(2000);
        assertThat(dispatcher.decide(request, 0).verdict()).isEqualTo(Verdict.WAIT);
        request.waitFrom(0);
        long[] times = ServiceDispatcher.decisionTimesMillis(request);

        assertThat(dispatcher.decide(request, times[1] * MILLI).verdict()).isEqualTo(Verdict.REFUSE);
    }

    /** Guards against requests that wait for a busy region while another one has free slots. */
    @Test
    void someRequestsOfABusyRegionRunInAnotherOne() {
        occupy(add("e-1", "home"), 20);
        add("e-2", "away");
        int elsewhere = 0;
        for (int i = 0; i < 1000; i++) {
            Decision decision = dispatcher.decide(request(2000), 0);
            elsewhere += decision.verdict() == Verdict.SEND ? 1 : 0;
        }

        assertThat(elsewhere).isAtLeast(10);
        // Half of the share that may move between two windows.
        assertThat(elsewhere).isAtMost(75);
    }

    /** Guards against requests that make objects cold elsewhere when every slot is needed. */
    @Test
    void noRequestsRunInAnotherRegionUnderOverload() {
        occupy(add("e-1", "home"), 20);
        add("e-2", "away");
        shares.update(Map.of("home", 2.0, "away", 2.0), Map.of("home", 4.0, "away", 0.0), 1, 1);
        DispatchRequest request = request(2000);
        int elsewhere = 0;
        for (int i = 0; i < 1000; i++) {
            elsewhere += shares.trySpill() ? 1 : 0;
            dispatcher.decide(request, 1);
        }

        assertThat(elsewhere).isEqualTo(0);
    }

    /** Guards against refused requests that return together. */
    @Test
    void returnTimesAreSpreadAndNotBeforeThereMayBeRoom() {
        occupy(add("e-1", "home"), 20);
        DispatchRequest request = request(2000);
        double earliest = dispatcher.returnMillis(request, 0, 0);
        double latest = dispatcher.returnMillis(request, 1, 0);

        assertThat(earliest).isAtLeast(250.0);
        assertThat(latest).isAtLeast(1.3 * earliest);
    }
}
