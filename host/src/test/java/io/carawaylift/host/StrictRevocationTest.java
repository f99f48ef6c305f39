package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import io.carawaylift.standin.SimulatedStore;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three hosts of a region that must refuse withdrawn keys in time, whether they reach the store or not. */
final class StrictRevocationTest {
    private static final String LIMITS = "strict_revocation = true\nrevocation_delay_ms = 5000";
    private static final String CONFIGURATION = """
            {"version":%d,"routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","service","public"],"rows":[
            ["keyed","a.example","/keyed/","safe",2000,"service",false],
            ["open","a.example","/open/","safe",2000,"service",true]]},
            "services":{"columns":["name"],"rows":[["service"]]},
            "tenants":{"columns":["name","apiKeys"],"rows":[["north",["%s"]]]}}""";

    private SimulatedStore store;
    private ScriptedEndpoint endpoint;
    private HostFixture[] hosts;

    @BeforeEach
    void start() throws IOException {
        store = new SimulatedStore();
        endpoint = new ScriptedEndpoint();
        store.put("config", "main", CONFIGURATION.formatted(1, "key-1"));
        hosts = new HostFixture[3];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new HostFixture(store, "host-" + i, LIMITS);
        }
        hosts[0].listEndpoint("e-1", endpoint, "ready");
        for (HostFixture host : hosts) {
            HostFixture.await(() -> status(host, "/keyed/1", "key-1") == 200);
        }
        HostFixture.await(() -> followers() == 2);
    }

    @AfterEach
    void stop() throws IOException {
        for (HostFixture host : hosts) {
            host.close();
        }
        endpoint.close();
        store.close();
    }

    private long followers() {
        long followers = 0;
        for (HostFixture host : hosts) {
            followers += host.hasLine("store.source", "\"kind\":\"config\"", "\"source\":\"host\"") ? 1 : 0;
        }
        return followers;
    }

    private static int status(HostFixture host, String target, String key) {
        return call(host, target, key).status();
    }

    private static RawCaller.Response call(HostFixture host, String target, String key) {
        try (RawCaller caller = host.caller()) {
            return caller.call("GET", target, "id", "X-Credential: " + key);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    /** Guards against keyed requests that are refused while the store and all links work, also after a change. */
    @Test
    void inNormalOperationKeyedRequestsAreServedAndWithdrawnOnesRefused() throws InterruptedException {
        long start = System.nanoTime();
        while (millisSince(start) < 10_000) {
            for (HostFixture host : hosts) {
                assertThat(status(host, "/keyed/1", "key-1")).isEqualTo(200);
            }
            Thread.sleep(40);
        }
        store.put("config", "main", CONFIGURATION.formatted(2, "key-2"));
        long changed = System.nanoTime();
        for (HostFixture host : hosts) {
            HostFixture.await(() -> status(host, "/keyed/1", "key-2") == 200);
            assertThat(status(host, "/keyed/1", "key-1")).isEqualTo(401);
        }
        assertThat(millisSince(changed)).isLessThan(3000L);
        while (millisSince(changed) < 10_000) {
            for (HostFixture host : hosts) {
                assertThat(status(host, "/keyed/1", "key-2")).isEqualTo(200);
            }
            Thread.sleep(40);
        }
        for (HostFixture host : hosts) {
            assertThat(host.hasLine("configuration.unproven")).isFalse();
        }
    }

    /**
     * Guards against a host that serves a withdrawn key because it no longer hears from the store, and against one that
     * stops too early or refuses public routes.
     */
    @Test
    void withoutTheStoreKeyedRequestsStopInTimeAndResume() throws InterruptedException {
        store.silence();
        long silent = System.nanoTime();
        long[] stopped = new long[hosts.length];
        while (millisSince(silent) < 4000) {
            for (int i = 0; i < hosts.length; i++) {
                if (status(hosts[i], "/keyed/1", "key-1") == 503 && stopped[i] == 0) {
                    stopped[i] = millisSince(silent);
                }
            }
            Thread.sleep(20);
        }
        for (int i = 0; i < hosts.length; i++) {
            // The proof at the time of the silence is up to 3 s old.
            assertWithMessage("host %s", i).that(stopped[i]).isAtLeast(300L);
            assertWithMessage("host %s", i).that(stopped[i]).isAtMost(3600L);
            RawCaller.Response refused = call(hosts[i], "/keyed/1", "key-1");
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.header("Retry-After")).isNotNull();
            assertThat(refused.header("Carawaylift-Code")).isAnyOf(null, "221");
            assertThat(status(hosts[i], "/open/1", "key-1")).isEqualTo(200);
            assertThat(hosts[i].hasLine("configuration.unproven", "\"maxAgeMs\":3500"))
                    .isTrue();
            assertThat(hosts[i].metric("carawaylift_configuration_usable")).isEqualTo(0.0);
            assertThat(hosts[i].metric("carawaylift_configuration_proven_age_seconds"))
                    .isAtLeast(3.5);
        }
        store.put("config", "main", CONFIGURATION.formatted(2, "key-2"));
        store.endSilence();
        for (HostFixture host : hosts) {
            HostFixture.await(() -> status(host, "/keyed/1", "key-2") == 200);
            assertThat(status(host, "/keyed/1", "key-1")).isEqualTo(401);
            host.awaitLine("configuration.proven");
        }
    }
}
