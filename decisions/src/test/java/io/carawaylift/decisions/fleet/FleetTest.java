package io.carawaylift.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

final class FleetTest {
    private static final long SECOND = 1_000_000_000L;

    private final Fleet fleet = new Fleet();

    private static EndpointEntry entry(long born, String service, boolean draining, long coldMillis) {
        return new EndpointEntry("e", born, service, "10.0.0.1", 80, "zone", "region", 4, draining, coldMillis);
    }

    /** Guards against requests to the service that an address or id belonged to before. */
    @Test
    void anEndpointThatComesBackForAnotherServiceLeavesTheOldOne() {
        fleet.put(entry(1, "old", false, 0), 0);
        fleet.put(entry(2, "new", false, 0), 0);

        assertThat(fleet.usable("old")).isEmpty();
        assertThat(fleet.usable("new")).hasSize(1);
    }

    /** Guards against what was learned of a process and is believed of its successor with the same id. */
    @Test
    void aNewIncarnationIsUnknownAndCold() {
        fleet.put(entry(1, "service", false, 0), 0);
        EndpointStatus status = fleet.find("e").orElseThrow();
        status.answered(5000, 100);
        status.sent("object", 0);
        status.ended();
        status.loadReported(9, 9, 0);

        fleet.put(entry(2, "service", false, 3000), SECOND);

        assertThat(status.isCold(SECOND)).isTrue();
        assertThat(status.slowness()).isEqualTo(1);
        assertThat(status.remembers("object")).isFalse();
        assertThat(status.load(SECOND)).isEqualTo(0);
    }

    /** Guards against a drain that is forgotten, and an evacuation that outlasts its end. */
    @Test
    void leavingAndEvacuatedEndpointsAreNotUsable() {
        fleet.put(entry(1, "service", true, 0), 0);
        assertThat(fleet.usable("service")).isEmpty();

        fleet.put(entry(1, "service", false, 0), 0);
        fleet.setEvacuatedZones(Set.of("zone"));
        assertThat(fleet.usable("service")).isEmpty();

        fleet.setEvacuatedZones(Set.of());
        assertThat(fleet.usable("service")).hasSize(1);
    }

    /** Guards against a request in flight to an endpoint that was removed and is counted as listed. */
    @Test
    void aRemovedEndpointIsNotListedForUseEvenIfItsStatusIsHeld() {
        fleet.put(entry(1, "service", false, 0), 0);
        EndpointStatus status = fleet.find("e").orElseThrow();
        fleet.remove("e");

        assertThat(fleet.isListedForUse(status)).isFalse();
    }

    /** Guards against load of other hosts that is believed long after it was reported. */
    @Test
    void reportedLoadFadesWithItsAge() {
        fleet.put(entry(1, "service", false, 0), 0);
        EndpointStatus status = fleet.find("e").orElseThrow();
        status.loadReported(4, 4, 0);

        assertThat(status.load(0)).isEqualTo(8);
        assertThat(status.load(5 * SECOND)).isLessThan(0.1);
    }
}
