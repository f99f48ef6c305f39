package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;
import static io.carawaylift.standin.ScriptedEndpoint.write;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Start, stop and reload of a host, and its view of the store while the store fails. */
final class HostLifecycleTest {
    private HostFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new HostFixture();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private void awaitReady() {
        HostFixture.await(() -> {
            try {
                return fixture.readiness() == 200;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        fixture.awaitEndpoints();
    }

    private int status(String method, String target) throws IOException {
        try (RawCaller caller = fixture.caller()) {
            return caller.call(method, target, "id").status();
        }
    }

    /** Guards against a 404 for a route that a host does not know yet. */
    @Test
    void aHostWithoutAConfigurationIsNotReadyAndRefusesWith503() throws IOException {
        assertThat(fixture.readiness()).isEqualTo(503);
        assertThat(status("GET", "/safe/1")).isEqualTo(503);
    }

    /** Guards against an older configuration that replaces a newer one. */
    @Test
    void theNewestConfigurationStaysInForce() throws IOException {
        ScriptedEndpoint endpoint = fixture.addEndpoint("e-1");
        fixture.configure(5);
        awaitReady();
        fixture.configure(4, "none", 100);
        fixture.awaitLine("configuration.ignored", "\"inForce\":5");

        assertThat(status("GET", "/safe/1")).isEqualTo(200);
        assertThat(endpoint.requests()).hasSize(1);
    }

    /** Guards against an invalid configuration that stops traffic. */
    @Test
    void anInvalidConfigurationLeavesTheLastOneInForce() throws IOException {
        fixture.addEndpoint("e-1");
        fixture.configure(1);
        awaitReady();
        fixture.store().put("config", "main", "{\"version\":\"x\"}");
        fixture.awaitLine("configuration.refused", "version");

        assertThat(status("GET", "/safe/1")).isEqualTo(200);
    }

    /** Guards against a host that follows the store only some time after it has listed it. */
    @Test
    void anEndpointThatIsAddedRightAfterTheStartIsListedAtOnce() throws IOException {
        fixture.awaitLine("store.listed", "servers");
        long addedNanos = System.nanoTime();
        fixture.addEndpoint("e-1");
        fixture.awaitLine("endpoint.listed", "e-1");

        assertThat(System.nanoTime() - addedNanos).isLessThan(1_000_000_000L);
    }

    /** Guards against an endpoint that left before a host started and is used again because the host read an old list. */
    @Test
    void anEndpointThatLeftIsNotUsedByAHostThatReadAnOldList() throws IOException {
        ScriptedEndpoint gone = fixture.addEndpoint("e-1");
        ScriptedEndpoint there = fixture.addEndpoint("e-2");
        fixture.configure(1);
        awaitReady();
        fixture.store().keepForOldLists();
        fixture.store().delete("servers", "e-1");
        try (HostFixture restarted = new HostFixture(fixture.store(), "host-2")) {
            restarted.awaitLine("store.listed", "servers");
            HostFixture.await(() -> isReady(restarted));
            try (RawCaller caller = restarted.caller()) {
                for (int i = 0; i < 20; i++) {
                    assertThat(caller.call("GET", "/safe/" + i, "id-" + i, "X-Affinity-Key: k" + i)
                                    .status())
                            .isEqualTo(200);
                }
            }
        }
        assertThat(gone.requests()).isEmpty();
        assertThat(there.requests()).hasSize(20);
    }

    private static boolean isReady(HostFixture host) {
        try {
            return host.readiness() == 200;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against an invalid entry of another writer that adds or removes endpoints. */
    @Test
    void anInvalidEntryIsIgnoredAndOtherEndpointsStayInUse() throws IOException {
        ScriptedEndpoint endpoint = fixture.addEndpoint("e-1");
        fixture.configure(1);
        awaitReady();
        fixture.store().put("servers", "x-1", "{\"service\":7}");
        fixture.store().put("servers", "x-2", "\"text\"");
        fixture.awaitLine("endpoint.entry_ignored", "x-1");
        fixture.awaitLine("endpoint.entry_ignored", "x-2");

        assertThat(status("GET", "/safe/1")).isEqualTo(200);
        assertThat(endpoint.requests()).hasSize(1);
    }

    /**
     * Guards against traffic that stops when the store is unreachable, and against removing endpoints whose entries
     * expired meanwhile.
     */
    @Test
    void requestsAreServedWhileTheStoreIsUnreachableAndExpiredEntriesMayBeRenewed() throws IOException {
        ScriptedEndpoint endpoint = fixture.addEndpoint("e-1");
        fixture.configure(1);
        awaitReady();
        fixture.store().rejectWith(503);
        fixture.awaitLine("dependency.lost", "servers");
        fixture.store().delete("servers", "e-1");
        assertThat(status("GET", "/safe/1")).isEqualTo(200);
        fixture.store().rejectWith(0);
        fixture.awaitLine("dependency.regained", "servers");
        assertThat(status("GET", "/safe/2")).isEqualTo(200);
        fixture.listEndpoint("e-1", endpoint, "ready");
        HostFixture.await(() -> fixture.log().split("endpoint.listed", -1).length > 2);

        assertThat(fixture.hasLine("endpoint.removed")).isFalse();
    }

    /** Guards against an endpoint that is used forever although its entry was never renewed. */
    @Test
    void anEntryThatIsNotRenewedIsRemoved() throws IOException {
        fixture.addEndpoint("e-1");
        fixture.configure(1);
        awaitReady();
        fixture.store().rejectWith(429);
        fixture.awaitLine("dependency.lost", "servers");
        fixture.store().delete("servers", "e-1");
        fixture.store().rejectWith(0);

        fixture.awaitLine("endpoint.removed", "not back after the store returned");
    }

    /** Guards against changes that are missed when the store drops its history, and against skipped pages of a list. */
    @Test
    void theObjectsAreListedAgainWhenTheStoreHasDroppedItsHistory() throws IOException {
        for (int i = 0; i < 8; i++) {
            fixture.addEndpoint("e-" + i);
        }
        fixture.configure(1);
        awaitReady();
        fixture.store().discardHistory();
        fixture.awaitLine("store.history_gone", "servers");
        fixture.addEndpoint("late");

        fixture.awaitLine("endpoint.listed", "late");
        for (int i = 0; i < 8; i++) {
            assertThat(fixture.hasLine("endpoint.listed", "\"e-" + i + "\"")).isTrue();
        }
    }

    /** Guards against a planned stop that cancels a request or keeps callers on their connections. */
    @Test
    void aStopCompletesRequestsInProgressAndClosesCallersConnections() throws Exception {
        fixture.close();
        fixture = new HostFixture(3);
        ScriptedEndpoint endpoint = fixture.addEndpoint("e-1");
        fixture.configure(1);
        awaitReady();
        endpoint.script((request, connection) -> {
            Thread.sleep(600);
            write(connection, ScriptedEndpoint.ok(request.id(), "late but whole"));
        });
        try (RawCaller caller = fixture.caller()) {
            caller.send("POST", "/unsafe/1", "id-1", "");
            HostFixture.await(() -> !endpoint.requests().isEmpty());
            CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture::stopHost);
            fixture.awaitLine("stopping");
            HostFixture.await(() -> {
                try {
                    return fixture.readiness() == 503;
                } catch (IOException e) {
                    return true;
                }
            });
            RawCaller.Response response = caller.read();

            assertThat(response.body()).isEqualTo("late but whole");
            assertThat(response.header("Connection")).isEqualTo("close");
            stop.join();
        }
    }

    /** Guards against a host that serves no requests because of an invalid edit of its settings file. */
    @Test
    void changedSettingsAreAppliedAndInvalidOnesAreNot() throws IOException {
        fixture.changeRetryRatio(0.1);
        fixture.awaitLine("reloaded", "\"retryRatio\":0.1");
        fixture.changeRetryRatio(7);

        fixture.awaitLine("settings.refused", "must be a number from 0.0 to 1.0");
    }

    /** Guards against a lookup that returns no address, or a host that is not ready. */
    @Test
    void aLookupReturnsTheHostOnceItIsReady() throws IOException {
        try (RawCaller caller = new RawCaller(fixture.host().lookupAddress())) {
            assertThat(caller.call("GET", "/v1/resolve?region=region-a", "none").status())
                    .isEqualTo(503);
            fixture.addEndpoint("e-1");
            fixture.configure(1);
            awaitReady();
            RawCaller.Response response = caller.call("GET", "/v1/resolve?region=region-b&zone=zone-b", "none");

            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body())
                    .contains("127.0.0.1:" + fixture.host().callerAddress().getPort());
        }
    }

    /**
     * Guards against a foreign entry among the hosts that ends the reports of every host, and with them lookups and
     * orderly stops.
     */
    @Test
    void anEntryOfAHostWithoutAValidAddressIsIgnored() throws IOException {
        fixture.addEndpoint("e-1");
        fixture.configure(1);
        awaitReady();
        for (String address : new String[] {"nonsense", "10.0.0.1:", ":80", "10.0.0.1:99999", "10.0.0.1:8x"}) {
            fixture.store()
                    .put(
                            "carawaylift-hosts",
                            "foreign-" + address.length(),
                            "{\"address\":\"%s\",\"region\":\"region-a\"}".formatted(address));
        }
        fixture.awaitLine("member.entry_ignored", "foreign-8");
        fixture.awaitLine("member.entry_ignored", "foreign-14");
        try (HostFixture second = new HostFixture(fixture.store(), "host-2")) {
            // Both hosts find each other, so the reports go on.
            fixture.awaitLine("dependency.regained", "host-2");
            HostFixture.await(() -> isReady(second));
        }

        assertThat(fixture.hasLine("\"event\":\"fault\"")).isFalse();
    }

    /** Guards against a host that the other hosts cannot find. */
    @Test
    void aHostRegistersItself() {
        HostFixture.await(() -> fixture.store().objectCount("carawaylift-hosts") == 1);
    }

    /** Guards against a live host that stays unknown after another one removed its entry, or a restored store lacks it. */
    @Test
    void aHostWhoseEntryIsMissingRegistersAgain() {
        HostFixture.await(() -> fixture.store().objectCount("carawaylift-hosts") == 1);
        fixture.awaitLine("member.registered", "revision");
        fixture.store().delete("carawaylift-hosts", "host-1");

        HostFixture.await(() -> fixture.store().objectCount("carawaylift-hosts") == 1);
    }

    /**
     * Guards against a stopped host whose calls reach whatever listens at the store's port later: an endpoint of another
     * test once got its watch.
     */
    @Test
    void aStoppedHostMakesNoMoreCallsToTheStore() throws InterruptedException {
        HostFixture.await(() -> fixture.store().objectCount("carawaylift-hosts") == 1);
        fixture.host().stop();
        int calls = fixture.store().callCount();
        // Longer than the wait of a watch.
        Thread.sleep(2500);

        assertThat(fixture.store().callCount()).isEqualTo(calls);
    }
}
