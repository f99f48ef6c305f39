package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Hosts whose store accepts calls and does not answer them for a while. */
final class SilentStoreTest {
    private static final String CONFIGURATION_AGE = "carawaylift_store_age_seconds{kind=\"config\"}";
    private static final String CONFIGURATION_CALL_AGE = "carawaylift_store_call_age_seconds{kind=\"config\"}";

    /** Time within which a change is in force after the store has acknowledged it. */
    private static final long APPLY_NANOS = 2_500_000_000L;

    /** Time after a disruption of the store from which on the limit holds. */
    private static final long STABILITY_NANOS = 4_000_000_000L;

    /** Time within which a change is in force at every host of a fleet. */
    private static final long EVERYWHERE_NANOS = 6_000_000_000L;

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

    /**
     * Guards against a 404 for a route that was added right after the store had been silent, because a call that was
     * sent meanwhile still waits for its response.
     */
    @Test
    void aRouteThatIsAddedAfterASilenceIsInForceWithinTheLimit() {
        fixture.configure(2, "service", 2000, List.of("safe"));
        fixture.awaitLine("configuration.in_force", "\"version\":2");
        fixture.store().silence();
        fixture.awaitLine("dependency.lost", "\"kind\":\"config\"");
        awaitNewConfigurationCall(fixture);
        fixture.store().endSilence();

        assertThat(nanosUntilDownloadIsRouted(fixture, 3)).isLessThan(APPLY_NANOS);
    }

    /**
     * Guards against the same at a host that was started during the silence and learned the configuration from a host
     * that is gone.
     */
    @Test
    void aHostThatStartedInASilenceHasALaterRouteWithinTheLimit() throws IOException {
        fixture.configure(2, "service", 2000, List.of("safe"));
        HostFixture before = new HostFixture(fixture.store(), "host-2");
        before.awaitLine("configuration.in_force", "\"version\":2");
        HostFixture.await(() -> followsAHost(fixture) || followsAHost(before));
        before.close();
        fixture.store().silence();
        fixture.awaitLine("dependency.lost", "\"kind\":\"config\"");
        try (HostFixture restarted = new HostFixture(fixture.store(), "host-2", before.peerPort())) {
            restarted.awaitLine("store.listed", "\"kind\":\"config\"", "\"source\":\"host\"");
            awaitReady(restarted);
            fixture.stopHost();
            awaitNewConfigurationCall(restarted);
            fixture.store().endSilence();

            assertThat(nanosUntilDownloadIsRouted(restarted, 3)).isLessThan(APPLY_NANOS);
        }
    }

    /** Guards against a change that is missed for long because only the response that brings it is lost. */
    @Test
    void aChangeWhoseResponseIsLostIsInForceEverywhereWithinTheLimit() throws InterruptedException {
        fixture.configure(2, "service", 2000, List.of("safe"));
        fixture.awaitLine("configuration.in_force", "\"version\":2");
        // For some seconds after its start, a host asks more often.
        Thread.sleep(12_000);
        fixture.store().loseWatch("config");

        assertThat(nanosUntilDownloadIsRouted(fixture, 3)).isLessThan(EVERYWHERE_NANOS);
    }

    /** Guards against requests to an evacuated zone or a draining endpoint because the store was silent before. */
    @Test
    void anEvacuationAndADrainingEndpointAreKnownWithinTheLimitAfterASilence() throws IOException {
        ScriptedEndpoint endpoint = fixture.addEndpoint("e-2");
        fixture.awaitLine("endpoint.listed", "e-2");
        fixture.store().silence();
        fixture.awaitLine("dependency.lost", "\"kind\":\"evacuations\"");
        fixture.awaitLine("dependency.lost", "\"kind\":\"servers\"");
        fixture.store().endSilence();
        long acknowledgedNanos = System.nanoTime();
        fixture.store().put("evacuations", "zone-b", "{}");
        fixture.listEndpoint("e-2", endpoint, "draining");
        fixture.awaitLine("zone.evacuation", "zone-b", "\"evacuated\":true");
        fixture.awaitLine("endpoint.listed", "e-2", "\"draining\":true");

        assertThat(System.nanoTime() - acknowledgedNanos).isLessThan(APPLY_NANOS);
    }

    /** Guards against a change that is missed for long because a silence of a moment lost the watch that waited. */
    @Test
    void aWatchThatIsLostInAShortSilenceIsReplaced() {
        fixture.configure(2, "service", 2000, List.of("safe"));
        fixture.awaitLine("configuration.in_force", "\"version\":2");
        awaitNewConfigurationCall(fixture);
        fixture.store().silence();
        fixture.store().endSilence();

        assertThat(nanosUntilDownloadIsRouted(fixture, 3)).isLessThan(STABILITY_NANOS);
    }

    /** Returns whether a host knows the same other hosts as the one that it follows. */
    private static boolean followsAHost(HostFixture host) {
        return host.hasLine("store.source", "\"kind\":\"carawaylift-hosts\"", "\"source\":\"host\"");
    }

    /** Waits until the host has just sent a call for the configuration. */
    private static void awaitNewConfigurationCall(HostFixture host) {
        double[] earlier = {host.metric(CONFIGURATION_CALL_AGE)};
        HostFixture.await(() -> {
            double age = host.metric(CONFIGURATION_CALL_AGE);
            boolean isNew = age > 0 && age < earlier[0];
            earlier[0] = age == 0 ? Double.MAX_VALUE : age;
            return isNew;
        });
    }

    private long nanosUntilDownloadIsRouted(HostFixture host, int version) {
        long acknowledgedNanos = System.nanoTime();
        fixture.configure(version);
        HostFixture.await(() -> {
            try (RawCaller caller = host.caller()) {
                return caller.call("GET", "/download/1", "id").status() != 404;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        return System.nanoTime() - acknowledgedNanos;
    }
}
