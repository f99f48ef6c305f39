package io.carawaylift.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

final class EndpointRegistryTest {
    private static final long SECOND = 1_000_000_000L;

    private final EndpointRegistry registry = new EndpointRegistry();

    private static EndpointEntry entry(long startedMillis, String service, boolean draining, long remainingColdMillis) {
        return new EndpointEntry(
                "e", startedMillis, service, "10.0.0.1", 80, "zone", "region", 4, draining, remainingColdMillis);
    }

    /**
     * Guards against requests of a service to an endpoint that is now listed, with the same id and address, for another
     * service.
     */
    @Test
    void anEndpointListedAgainForAnotherServiceIsRemovedFromTheOldOne() {
        registry.put(entry(1, "old", false, 0), 0);
        registry.put(entry(2, "new", false, 0), 0);

        assertThat(registry.usable("old")).isEmpty();
        assertThat(registry.usable("new")).hasSize(1);
    }

    /** Guards against applying the statistics of a process to its successor with the same id. */
    @Test
    void aNewIncarnationStartsColdAndWithoutStatistics() {
        registry.put(entry(1, "service", false, 0), 0);
        EndpointStatus status = registry.find("e").orElseThrow();
        for (int i = 0; i < 5; i++) {
            status.responseReceived(5000, 100, 0);
        }
        assertThat(status.slowness(0)).isGreaterThan(5.0);
        status.requestSent("object", 0);
        status.requestEnded();
        status.loadReported(9, 9, 0);

        registry.put(entry(2, "service", false, 3000), SECOND);

        assertThat(status.isCold(SECOND)).isTrue();
        assertThat(status.slowness(SECOND)).isEqualTo(1);
        assertThat(status.probablyCaches("object")).isFalse();
        assertThat(status.load(SECOND)).isEqualTo(0);
    }

    /** Guards against ignoring a drain, and against an evacuation that stays in force after it ended. */
    @Test
    void drainingAndEvacuatedEndpointsAreNotUsable() {
        registry.put(entry(1, "service", true, 0), 0);
        assertThat(registry.usable("service")).isEmpty();

        registry.put(entry(1, "service", false, 0), 0);
        registry.setEvacuatedZones(Set.of("zone"));
        assertThat(registry.usable("service")).isEmpty();

        registry.setEvacuatedZones(Set.of());
        assertThat(registry.usable("service")).hasSize(1);
    }

    /** Guards against counting a removed endpoint as usable because a request still holds its status. */
    @Test
    void aRemovedEndpointIsNotUsableEvenIfItsStatusIsStillReferenced() {
        registry.put(entry(1, "service", false, 0), 0);
        EndpointStatus status = registry.find("e").orElseThrow();
        registry.remove("e");

        assertThat(registry.isUsable(status)).isFalse();
    }

    /** Guards against the load of other hosts that counts long after it was reported. */
    @Test
    void reportedLoadDecaysWithItsAge() {
        registry.put(entry(1, "service", false, 0), 0);
        EndpointStatus status = registry.find("e").orElseThrow();
        status.loadReported(4, 4, 0);

        assertThat(status.load(0)).isEqualTo(8);
        assertThat(status.load(5 * SECOND)).isLessThan(0.1);
    }

    /** Guards against requests to an endpoint that leaves, also if a restored store lists it again. */
    @Test
    void aLeavingEndpointIsNotUsableUntilItIsListedWithAnotherStart() {
        registry.put(entry(1, "service", false, 0), 0);
        assertThat(registry.markLeaving("e", 1)).isTrue();
        assertThat(registry.markLeaving("e", 1)).isFalse();
        assertThat(registry.usable("service")).isEmpty();
        registry.remove("e");
        registry.put(entry(1, "service", false, 0), 0);
        assertThat(registry.usable("service")).isEmpty();

        registry.put(entry(2, "service", false, 0), 0);
        assertThat(registry.usable("service")).hasSize(1);
        assertThat(registry.markLeaving("e", 1)).isFalse();
    }

    /** Guards against a late announcement by an old incarnation that stops the new one. */
    @Test
    void anAnnouncementConcernsOneIncarnation() {
        registry.put(entry(2, "service", false, 0), 0);
        registry.markLeaving("e", 1);

        assertThat(registry.usable("service")).hasSize(1);
    }

    /** Guards against a pause that a shorter one ends early, or that outlives the incarnation that requested it. */
    @Test
    void aSilencedEndpointIsSilentUntilTheLatestTime() {
        registry.put(entry(1, "service", false, 0), 0);
        EndpointStatus status = registry.find("e").orElseThrow();
        registry.silence("e", 3 * SECOND, 0);
        registry.silence("e", 2 * SECOND, SECOND);
        assertThat(status.isSilenced(3 * SECOND - 1)).isTrue();
        assertThat(status.isSilenced(3 * SECOND)).isFalse();

        registry.silence("e", 9 * SECOND, 4 * SECOND);
        registry.put(entry(2, "service", false, 0), 4 * SECOND);
        assertThat(status.isSilenced(5 * SECOND)).isFalse();
    }

    /** Guards against a queue at an endpoint that seems to be idle because this host heard nothing of it. */
    @Test
    void withoutAReportTheMeanOfTheOtherEndpointsIsAssumed() {
        registry.put(entry(1, "service", false, 0), 0);
        registry.put(new EndpointEntry("silent", 1, "service", "10.0.0.1", 80, "zone", "region", 4, false, 0), 0);
        for (int i = 0; i < 60; i++) {
            registry.find("e").orElseThrow().loadReported(4, 4, 9 * SECOND);
        }

        EndpointStatus silent = registry.find("silent").orElseThrow();
        assertThat(silent.loadOrMean(9 * SECOND)).isWithin(0.2).of(8);
        assertThat(silent.loadOrMean(20 * SECOND)).isLessThan(0.1);
        assertThat(silent.load(9 * SECOND)).isEqualTo(0);
        for (int i = 0; i < 60; i++) {
            registry.find("e").orElseThrow().loadReported(2, 0, 30 * SECOND);
        }
        assertThat(silent.loadOrMean(30 * SECOND)).isEqualTo(0);
    }

    /** Three percent of the requests take seven times as long at any endpoint: they must not mark it as slow. */
    @Test
    void singleSlowResponsesDoNotMarkAnEndpointAsSlowAndSuccessiveOnesDo() {
        registry.put(entry(1, "service", false, 0), 0);
        EndpointStatus status = registry.find("e").orElseThrow();
        double slowest = 0;
        for (int i = 0; i < 1000; i++) {
            status.responseReceived(i % 33 == 0 ? 700 : 100, 100, 0);
            slowest = Math.max(slowest, status.slowness(0));
        }
        assertThat(slowest).isLessThan(1.2);

        for (int i = 0; i < 4; i++) {
            status.responseReceived(500, 100, 0);
        }
        assertThat(status.slowness(0)).isGreaterThan(2.0);
    }

    /** Guards against a reported speed that counts longer than it lasts, which is about 600 ms. */
    @Test
    void theReportedSpeedDecaysWithinASecond() {
        registry.put(entry(1, "service", false, 0), 0);
        EndpointStatus status = registry.find("e").orElseThrow();
        status.loadReported(1, 0, 250, SECOND);

        assertThat(status.speed(SECOND)).isEqualTo(2.5);
        assertThat(status.speed(SECOND + 300_000_000)).isEqualTo(1.75);
        assertThat(status.speed(2 * SECOND)).isLessThan(1.2);
    }
}
