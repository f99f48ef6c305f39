package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Hosts whose store accepts calls and does not answer them for a while. */
final class SilentStoreTest {
    private static final String CONFIGURATION_AGE = "carawaylift_store_age_seconds{kind=\"config\"}";
    private static final String CONFIGURATION_CALL_AGE = "carawaylift_store_call_age_seconds{kind=\"config\"}";

    private HostFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new HostFixture();
        fixture.addEndpoint("e-1");
        fixture.configure(1);
        awaitReady(fixture);
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static void awaitReady(HostFixture host) {
        HostFixture.await(() -> {
            try {
                return host.readiness() == 200;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Guards against a host whose logs and metrics do not tell how old its configuration is. */
    @Test
    void theMetricsTellHowLongAKindIsNotConfirmedAndHowOldItsCallIs() {
        fixture.store().silence();
        HostFixture.await(() -> fixture.metric(CONFIGURATION_AGE) > 1);
        assertThat(fixture.metric(CONFIGURATION_CALL_AGE)).isGreaterThan(0.5);
        fixture.awaitLine("dependency.lost", "\"kind\":\"config\"", "\"callAgeMs\":");
        fixture.store().endSilence();
        fixture.awaitLine("dependency.regained", "\"kind\":\"config\"", "\"ageMs\":");

        assertThat(fixture.metric(CONFIGURATION_AGE)).isLessThan(1.0);
    }
}
