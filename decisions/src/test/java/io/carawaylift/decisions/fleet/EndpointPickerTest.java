package io.carawaylift.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.fleet.EndpointPicker.Choice;
import io.carawaylift.decisions.fleet.EndpointPicker.Need;
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

    private final Fleet fleet = new Fleet();
    private final EndpointPicker picker = new EndpointPicker(fleet, "zone-a");
    private final WorkTimes times = new WorkTimes(500);

    private static EndpointEntry endpoint(String id, String zone, boolean draining, long coldMillis) {
        return new EndpointEntry(id, 1, "service", "10.0.0.1", 80, zone, "region", 4, draining, coldMillis);
    }

    private static Need need(String object, boolean mayWarm, String... excluded) {
        return new Need("service", object, false, Set.of(excluded), COLD_RATE, entry -> mayWarm);
    }

    private Optional<String> pick(Need need, long now) {
        return picker.pick(need, "region", times, now)
                .map(choice -> choice.endpoint().entry().id());
    }

    private void fill(int endpoints) {
        for (int i = 0; i < endpoints; i++) {
            fleet.put(endpoint("endpoint-" + i, "zone-a", false, 0), 0);
        }
    }

    /** Guards against an object that has to be remembered by every endpoint. */
    @Test
    void theRequestsForAnObjectGoToOneEndpointWhileItHasSlots() {
        fill(8);
        Map<String, String> chosen = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            String object = "object-" + i % 20;
            String id = pick(need(object, true), 0).orElseThrow();
            chosen.putIfAbsent(object, id);
            assertThat(chosen).containsEntry(object, id);
        }
        assertThat(new HashSet<>(chosen.values()).size()).isAtLeast(5);
    }

    /** Guards against a join that moves the objects of all endpoints. */
    @Test
    void aNewEndpointTakesItsPartOfTheObjectsOnly() {
        fill(8);
        Map<String, String> before = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            before.put("object-" + i, pick(need("object-" + i, true), 0).orElseThrow());
        }
        fleet.put(endpoint("endpoint-new", "zone-a", false, 0), 0);
        int moved = 0;
        for (Map.Entry<String, String> each : before.entrySet()) {
            String now = pick(need(each.getKey(), true), 0).orElseThrow();
            if (!now.equals(each.getValue())) {
                assertThat(now).isEqualTo("endpoint-new");
                moved++;
            }
        }
        assertThat(moved).isLessThan(50);
    }

    /** Guards against a hot object that overloads its endpoint while others are free. */
    @Test
    void aBusyEndpointPassesItsObjectsOn() {
        fill(2);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            Choice choice = picker.pick(need("hot", true), "region", times, 0).orElseThrow();
            choice.endpoint().sent("hot", 0);
            used.add(choice.endpoint().entry().id());
        }
        assertThat(used).hasSize(2);
    }

    /** Guards against new requests at endpoints that leave, are in an evacuated zone, or had the request before. */
    @Property(tries = 100)
    void onlyEndpointsThatMayGetTheRequestAreChosen(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Fleet random6 = new Fleet();
        EndpointPicker randomPicker = new EndpointPicker(random6, "zone-a");
        Set<String> excluded = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            String zone = random.nextBoolean() ? "zone-a" : "zone-b";
            random6.put(endpoint("e" + i, zone, random.nextInt(3) == 0, random.nextInt(3) == 0 ? 3000 : 0), 0);
            if (random.nextInt(4) == 0) {
                excluded.add("e" + i);
            }
        }
        random6.setEvacuatedZones(random.nextBoolean() ? Set.of("zone-b") : Set.of());
        Need need = new Need("service", "object", false, excluded, COLD_RATE, entry -> false);
        Optional<Choice> choice = randomPicker.pick(need, "region", times, SECOND);

        if (choice.isPresent()) {
            EndpointStatus chosen = choice.get().endpoint();
            assertThat(chosen.entry().draining()).isFalse();
            assertThat(chosen.isCold(SECOND)).isFalse();
            assertThat(excluded).doesNotContain(chosen.entry().id());
            assertThat(random6.evacuatedZones()).doesNotContain(chosen.entry().zone());
        }
    }

    /** Guards against a cold endpoint that gets more than it tolerates, also when two hosts believe to be the one to send. */
    @Test
    void twoHostsTogetherStayBelowTheColdRate() {
        int mostInASecond = 0;
        for (int host = 0; host < 2; host++) {
            Fleet own = new Fleet();
            own.put(endpoint("cold", "zone-a", false, 60_000), 0);
            EndpointPicker ownPicker = new EndpointPicker(own, "zone-a");
            int most = 0;
            for (long second = 0; second < 10; second++) {
                int sent = 0;
                for (int i = 0; i < 1000; i++) {
                    long now = second * SECOND + i * SECOND / 1000;
                    Optional<Choice> choice = ownPicker.pick(need("", true), "region", times, now);
                    if (choice.isPresent() && ownPicker.tryTake(choice.get(), need("", true), now)) {
                        sent++;
                    }
                }
                most = Math.max(most, sent);
            }
            mostInASecond += most;
        }
        // The operators allow 1.5 times the rate and 5 requests more.
        assertThat((double) mostInASecond).isAtMost(COLD_RATE * 1.5 + 5);
        assertThat(mostInASecond).isAtLeast(2);
    }

    /** Guards against requests of hosts that are not the one to send to a cold endpoint. */
    @Test
    void aHostThatMayNotWarmLeavesColdEndpointsAlone() {
        fleet.put(endpoint("cold", "zone-a", false, 1000), 0);

        assertThat(pick(need("object", false), SECOND / 2)).isEmpty();
        assertThat(pick(need("object", false), 2 * SECOND)).hasValue("cold");
    }

    /** Guards against an endpoint that fails and gets the full load until it is taken off the list. */
    @Test
    void anEndpointThatFailsAgainAndAgainIsSuspended() {
        fill(2);
        for (int i = 0; i < 3; i++) {
            fleet.health().failed("endpoint-0", 0);
        }
        for (int i = 0; i < 50; i++) {
            assertThat(pick(need("object-" + i, true), 1000)).hasValue("endpoint-1");
        }
    }

    /** Guards against a large answer that crosses zones, where its bytes are paid for, although its zone has room. */
    @Test
    void largeAnswersStayInTheZone() {
        fleet.put(endpoint("near", "zone-a", false, 0), 0);
        fleet.put(endpoint("far-1", "zone-b", false, 0), 0);
        fleet.put(endpoint("far-2", "zone-b", false, 0), 0);
        Need need = new Need("service", "", true, Set.of(), COLD_RATE, entry -> true);

        Choice choice = picker.pick(need, "region", times, 0).orElseThrow();
        assertThat(choice.endpoint().entry().id()).isEqualTo("near");
    }
}
