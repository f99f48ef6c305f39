package io.carawaylift.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.fleet.EndpointPicker.Choice;
import io.carawaylift.decisions.fleet.EndpointPicker.Requirements;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class EndpointPickerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final double COLD_RATE = 4;

    private final EndpointRegistry registry = new EndpointRegistry();
    private final EndpointPicker picker = new EndpointPicker(registry, "zone-a");
    private final ProcessingTimes times = new ProcessingTimes(500);

    private static EndpointEntry endpoint(String id, String zone, boolean draining, long remainingColdMillis) {
        return new EndpointEntry(id, 1, "service", "10.0.0.1", 80, zone, "region", 4, draining, remainingColdMillis);
    }

    private static Requirements requirements(String object, boolean mayWarmUp, String... excluded) {
        return new Requirements("service", object, false, Set.of(excluded), COLD_RATE, entry -> mayWarmUp);
    }

    private Optional<String> pick(Requirements requirements, long now) {
        return picker.pick(requirements, "region", times, now)
                .map(choice -> choice.endpoint().entry().id());
    }

    private void addEndpoints(int endpoints) {
        for (int i = 0; i < endpoints; i++) {
            registry.put(endpoint("endpoint-" + i, "zone-a", false, 0), 0);
        }
    }

    /** Guards against an object that every endpoint has to cache. */
    @Test
    void theRequestsForAnObjectGoToOneEndpointWhileItHasSlots() {
        addEndpoints(8);
        Map<String, String> chosen = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            String object = "object-" + i % 20;
            String id = pick(requirements(object, true), 0).orElseThrow();
            chosen.putIfAbsent(object, id);
            assertThat(chosen).containsEntry(object, id);
        }
        assertThat(new HashSet<>(chosen.values()).size()).isAtLeast(5);
    }

    /**
     * Guards against requests that wait for or avoid the endpoint that takes over an object when its first endpoint is gone
     * or suspended: it has the object cached after one request.
     */
    @Test
    void theNextEndpointIsTheHomeOfAnObjectWhoseFirstEndpointIsNotUsable() {
        addEndpoints(6);
        String first = pick(requirements("object", true), 0).orElseThrow();
        Requirements withoutFirst = requirements("object", true, first);
        Choice next = picker.pick(withoutFirst, "region", times, 0).orElseThrow();

        assertThat(next.endpoint().entry().id()).isNotEqualTo(first);
        assertThat(next.expectedCached()).isTrue();
        assertThat(next.processingMillis()).isEqualTo(times.expectedMillis(true));
    }

    /** Guards against a new endpoint to which objects of all other endpoints move, so that caches go cold. */
    @Test
    void aNewEndpointTakesOnlyItsShareOfTheObjects() {
        addEndpoints(8);
        Map<String, String> before = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            before.put("object-" + i, pick(requirements("object-" + i, true), 0).orElseThrow());
        }
        registry.put(endpoint("endpoint-new", "zone-a", false, 0), 0);
        int moved = 0;
        for (Map.Entry<String, String> each : before.entrySet()) {
            String now = pick(requirements(each.getKey(), true), 0).orElseThrow();
            if (!now.equals(each.getValue())) {
                assertThat(now).isEqualTo("endpoint-new");
                moved++;
            }
        }
        assertThat(moved).isLessThan(50);
    }

    /** Guards against an object with many requests that overloads its endpoint while others are free. */
    @Test
    void requestsForAHotObjectSpreadWhenItsEndpointIsBusy() {
        addEndpoints(2);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            Choice choice =
                    picker.pick(requirements("hot", true), "region", times, 0).orElseThrow();
            choice.endpoint().requestSent("hot", 0);
            used.add(choice.endpoint().entry().id());
        }
        assertThat(used).hasSize(2);
    }

    /**
     * Guards against requests to endpoints that are draining, in an evacuated zone, or have already had the request.
     */
    @Property(tries = 100)
    void onlyEligibleEndpointsAreChosen(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EndpointRegistry randomRegistry = new EndpointRegistry();
        EndpointPicker randomPicker = new EndpointPicker(randomRegistry, "zone-a");
        Set<String> excluded = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            String zone = random.nextBoolean() ? "zone-a" : "zone-b";
            randomRegistry.put(endpoint("e" + i, zone, random.nextInt(3) == 0, random.nextInt(3) == 0 ? 3000 : 0), 0);
            if (random.nextInt(4) == 0) {
                excluded.add("e" + i);
            }
        }
        randomRegistry.setEvacuatedZones(random.nextBoolean() ? Set.of("zone-b") : Set.of());
        Requirements requirements = new Requirements("service", "object", false, excluded, COLD_RATE, entry -> false);
        Optional<Choice> choice = randomPicker.pick(requirements, "region", times, SECOND);

        if (choice.isPresent()) {
            EndpointStatus chosen = choice.get().endpoint();
            assertThat(chosen.entry().draining()).isFalse();
            assertThat(chosen.isCold(SECOND)).isFalse();
            assertThat(excluded).doesNotContain(chosen.entry().id());
            assertThat(randomRegistry.evacuatedZones())
                    .doesNotContain(chosen.entry().zone());
        }
    }

    /**
     * Guards against more requests than a cold endpoint tolerates when two hosts each believe that they are the one to
     * send.
     */
    @Test
    void twoHostsTogetherStayBelowTheColdRate() {
        int maxTotalPerSecond = 0;
        for (int host = 0; host < 2; host++) {
            EndpointRegistry hostRegistry = new EndpointRegistry();
            hostRegistry.put(endpoint("cold", "zone-a", false, 60_000), 0);
            EndpointPicker hostPicker = new EndpointPicker(hostRegistry, "zone-a");
            int maxPerSecond = 0;
            for (long second = 0; second < 10; second++) {
                int sent = 0;
                for (int i = 0; i < 1000; i++) {
                    long now = second * SECOND + i * SECOND / 1000;
                    Optional<Choice> choice = hostPicker.pick(requirements("", true), "region", times, now);
                    if (choice.isPresent() && hostPicker.tryTake(choice.get(), requirements("", true), now)) {
                        sent++;
                    }
                }
                maxPerSecond = Math.max(maxPerSecond, sent);
            }
            maxTotalPerSecond += maxPerSecond;
        }
        // The operators allow 1.5 times the rate and 5 requests more.
        assertThat((double) maxTotalPerSecond).isAtMost(COLD_RATE * 1.5 + 5);
        assertThat(maxTotalPerSecond).isAtLeast(2);
    }

    /** Guards against requests to a cold endpoint from hosts that are not the one to send to it. */
    @Test
    void aHostThatMayNotWarmUpDoesNotUseColdEndpoints() {
        registry.put(endpoint("cold", "zone-a", false, 1000), 0);

        assertThat(pick(requirements("object", false), SECOND / 2)).isEmpty();
        assertThat(pick(requirements("object", false), 2 * SECOND)).hasValue("cold");
    }

    /** Guards against a failing endpoint that gets the full load until the platform removes it. */
    @Test
    void anEndpointThatFailsRepeatedlyIsSuspended() {
        addEndpoints(2);
        for (int i = 0; i < 3; i++) {
            registry.health().failed("endpoint-0", 0);
        }
        for (int i = 0; i < 50; i++) {
            assertThat(pick(requirements("object-" + i, true), 1000)).hasValue("endpoint-1");
        }
    }

    /**
     * Guards against a large response that crosses zones, where its bytes are paid for, although its zone has free
     * slots.
     */
    @Test
    void largeResponsesStayInTheZone() {
        registry.put(endpoint("near", "zone-a", false, 0), 0);
        registry.put(endpoint("far-1", "zone-b", false, 0), 0);
        registry.put(endpoint("far-2", "zone-b", false, 0), 0);
        Requirements requirements = new Requirements("service", "", true, Set.of(), COLD_RATE, entry -> true);

        Choice choice = picker.pick(requirements, "region", times, 0).orElseThrow();
        assertThat(choice.endpoint().entry().id()).isEqualTo("near");
    }

    /** Load of the desk booking service: reports hold 9 of 10 slots that floor maps need. */
    @Test
    void lessUrgentRequestsLeaveTheReservedSlots() {
        addEndpoints(40);
        Requirements reports = new Requirements("service", "", false, Set.of(), COLD_RATE, entry -> true, 0.125, true);
        Requirements maps = requirements("", true);
        int sent = 0;
        for (int i = 0; i < 1000; i++) {
            Optional<Choice> choice = picker.pick(reports, "region", times, 0);
            if (choice.isPresent() && choice.get().slotFree()) {
                choice.get().endpoint().requestSent("", 0);
                sent++;
            }
        }
        // An eighth of four slots is a whole slot at half of the 40 endpoints.
        assertThat(sent).isAtMost(160 - 10);
        assertThat(sent).isAtLeast(160 - 32);
        int urgent = 0;
        for (int i = 0; i < 1000; i++) {
            Choice choice = picker.pick(maps, "region", times, 0).orElseThrow();
            if (choice.slotFree()) {
                choice.endpoint().requestSent("", 0);
                urgent++;
            }
        }
        assertThat(urgent).isAtLeast(10);
    }

    /** A seventh of the endpoints is 2.5 times slower at any moment: those that say so get few requests. */
    @Test
    void endpointsThatReportALongerProcessingTimeAreAvoidedForAMoment() {
        addEndpoints(7);
        EndpointStatus slow = registry.find("endpoint-3").orElseThrow();
        slow.loadReported(0, 0, 250, SECOND);
        for (int i = 0; i < 100; i++) {
            assertThat(pick(requirements("", true), SECOND).orElseThrow()).isNotEqualTo("endpoint-3");
        }
        // A cached object is still faster there than at an endpoint that has to load it.
        Set<String> atSlow = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            if (pick(requirements("object-" + i, true), SECOND).orElseThrow().equals("endpoint-3")) {
                atSlow.add("object-" + i);
            }
        }
        assertThat(atSlow).isNotEmpty();
        slow.loadReported(0, 0, 600, SECOND);
        for (String object : atSlow) {
            assertThat(pick(requirements(object, true), SECOND).orElseThrow()).isNotEqualTo("endpoint-3");
        }
    }

    /** Guards against the requests of many hosts at the first endpoint of an order that they share. */
    @Test
    void requestsWithoutAnObjectSpreadOverTheEndpoints() {
        addEndpoints(60);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 6000; i++) {
            counts.merge(pick(requirements("", true), 0).orElseThrow(), 1, Integer::sum);
        }

        assertThat(counts).hasSize(60);
        counts.values().forEach(count -> assertThat(count).isAtMost(400));
    }

    /** Guards against all objects at an endpoint at the end of its cold period. */
    @Test
    void anEndpointThatHasJustBecomeWarmGetsAShareOfItsObjects() {
        addEndpoints(8);
        registry.put(endpoint("endpoint-new", "zone-a", false, 1000), 0);
        int[] atNew = new int[3];
        long[] times = {SECOND + 10_000_000, SECOND + 300_000_000, 3 * SECOND};
        for (int step = 0; step < times.length; step++) {
            for (int i = 0; i < 900; i++) {
                String chosen =
                        pick(requirements("object-" + i, false), times[step]).orElseThrow();
                atNew[step] += chosen.equals("endpoint-new") ? 1 : 0;
            }
        }
        assertThat(atNew[0]).isIn(com.google.common.collect.Range.closed(5, 50));
        assertThat(atNew[1]).isAtLeast(atNew[0] + 10);
        assertThat(atNew[2]).isAtLeast(atNew[1] + 20);
    }
}
