package io.carawaylift.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class EndpointHealthTest {
    private static final long MS = 1_000_000;

    /** Guards against many concurrent requests to an endpoint that has just failed. */
    @Test
    void aSuspendedEndpointGetsSingleProbesAtGrowingIntervals() {
        EndpointHealth health = suspended();

        assertThat(health.mayTry("e", 499 * MS)).isFalse();
        assertThat(health.mayTry("e", 500 * MS)).isTrue();
        health.tried("e", 500 * MS);
        assertThat(health.mayTry("e", 600 * MS)).isFalse();
        health.failed("e", 600 * MS);
        assertThat(health.mayTry("e", 1_599 * MS)).isFalse();
        assertThat(health.mayTry("e", 1_600 * MS)).isTrue();
        assertThat(health.mayTry("other", 0)).isTrue();
    }

    /** Guards against late responses that end a suspension, and against a suspension that never ends. */
    @Test
    void onlyASuccessfulProbeEndsTheSuspension() {
        EndpointHealth health = suspended();

        health.succeeded("e", 100 * MS);
        assertThat(health.mayTry("e", 100 * MS)).isFalse();
        health.tried("e", 500 * MS);
        health.succeeded("e", 510 * MS);
        assertThat(health.mayTry("e", 510 * MS)).isTrue();
    }

    private static EndpointHealth suspended() {
        EndpointHealth health = new EndpointHealth();
        for (int i = 0; i < 3; i++) {
            health.failed("e", 0);
        }
        return health;
    }
}
