package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import io.carawaylift.standin.SimulatedStore;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A store that comes back from an older copy: revisions go back and are assigned again. */
final class RestoredStoreTest {
    private static final String STRICT = "strict_revocation = true\nrevocation_delay_ms = 1500";

    private final List<HostFixture> hosts = new ArrayList<>();
    private SimulatedStore store;

    @BeforeEach
    void start() throws IOException {
        store = new SimulatedStore();
        startHost();
        hosts.get(0).addEndpoint("e-1");
    }

    @AfterEach
    void stop() throws IOException {
        for (HostFixture host : hosts) {
            host.close();
        }
        store.close();
    }

    private HostFixture startHost() throws IOException {
        HostFixture host = new HostFixture(store, "host-" + (hosts.size() + 1), STRICT);
        hosts.add(host);
        return host;
    }

    private void configure(long version, String... keys) {
        StringBuilder customers = new StringBuilder();
        for (String key : keys) {
            customers
                    .append(customers.length() == 0 ? "" : ",")
                    .append("[\"customer-%s\",[\"%s\"]]".formatted(key, key));
        }
        store.put("config", "main", """
                {"version":%d,"limits":{"idleTimeoutMs":15000},
                "services":{"columns":["name"],"rows":[["service"]]},
                "tenants":{"columns":["name","apiKeys"],"rows":[%s]},
                "routes":{"columns":["name","host","pathPrefix","kind","service","maxAttempts","timeoutMs"],
                "rows":[["safe","a.example","/safe/","safe","service",2,2000]]}}""".formatted(version, customers));
    }

    private static void awaitStatus(HostFixture host, String key, int status) {
        HostFixture.await(() -> status(host, key) == status);
    }

    private static int status(HostFixture host, String key) {
        try (RawCaller caller = host.caller()) {
            return caller.call("GET", "/safe/1", "id", "X-Credential: " + key).status();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void fillRevisions() {
        for (int i = 0; i < 20; i++) {
            store.put("other", "o-" + i, "{}");
        }
    }

    /** Guards against a configuration that is never in force because an earlier one had a higher revision. */
    @Test
    void aConfigurationThatTakesAKeyAwayAfterARestoreIsInForceAtEveryHost() throws Exception {
        HostFixture second = startHost();
        configure(1, "kept", "withdrawn");
        hosts.forEach(host -> awaitStatus(host, "withdrawn", 200));
        store.keepCopy();
        fillRevisions();
        configure(2, "kept", "withdrawn");
        hosts.forEach(host -> host.awaitLine("configuration.in_force", "\"version\":2"));
        store.restore();
        configure(2, "kept", "withdrawn");
        Thread.sleep(500);
        configure(3, "kept");
        hosts.forEach(host -> awaitStatus(host, "withdrawn", 401));

        assertThat(status(hosts.get(0), "kept")).isEqualTo(200);
        assertThat(status(second, "kept")).isEqualTo(200);
    }

    /** Guards against changes that are missed because a revision from before the restore was assigned again. */
    @Test
    void changesBelowTheKnownRevisionAreReadWhenRevisionsHaveCaughtUp() {
        configure(1, "kept", "withdrawn");
        awaitStatus(hosts.get(0), "withdrawn", 200);
        store.keepCopy();
        fillRevisions();
        store.restore();
        configure(2, "kept");
        fillRevisions();
        fillRevisions();

        awaitStatus(hosts.get(0), "withdrawn", 401);
    }

    /** Guards against a withdrawn key that is valid again, and against a proof by a store that has an older version. */
    @Test
    void aWithdrawnKeyStaysWithdrawnAndAnOlderConfigurationProvesNothing() throws Exception {
        HostFixture host = hosts.get(0);
        configure(1, "kept", "withdrawn");
        awaitStatus(host, "withdrawn", 200);
        store.keepCopy();
        configure(2, "kept");
        awaitStatus(host, "withdrawn", 401);
        store.restore();
        host.awaitLine("store.object_withheld", "config");

        awaitStatus(host, "kept", 503);
        assertThat(status(host, "withdrawn")).isNotEqualTo(200);
        HostFixture starting = startHost();
        starting.awaitLine("configuration.in_force", "\"version\":2");
        assertThat(status(starting, "withdrawn")).isNotEqualTo(200);
        configure(2, "kept");
        awaitStatus(host, "kept", 200);
        awaitStatus(starting, "kept", 200);
    }

    /** Guards against requests to an endpoint that left, or is about to, because a restored store lists it as ready. */
    @Test
    void endpointsThatLeftOrAreDrainingGetNoRequestsAgain() throws Exception {
        HostFixture host = hosts.get(0);
        ScriptedEndpoint left = host.addEndpoint("left");
        ScriptedEndpoint draining = host.addEndpoint("draining");
        configure(1, "kept");
        awaitStatus(host, "kept", 200);
        store.keepCopy();
        store.delete("servers", "left");
        store.put("servers", "draining", entry(draining, "draining", 2));
        host.awaitLine("endpoint.removed", "left");
        host.awaitLine("endpoint.listed", "\"endpoint\":\"draining\"", "\"draining\":true");
        int before = left.requests().size() + draining.requests().size();
        store.restore();
        configure(2, "kept");
        host.awaitLine("store.object_withheld", "left");
        host.awaitLine("store.object_withheld", "draining");
        for (int i = 0; i < 30; i++) {
            try (RawCaller caller = host.caller()) {
                caller.call("GET", "/safe/" + i, "id-" + i, "X-Credential: kept", "X-Affinity-Key: k" + i);
            }
        }

        assertThat(left.requests().size() + draining.requests().size()).isEqualTo(before);
    }

    /** Guards against an endpoint that is left out for ever although it is alive and its entry was restored. */
    @Test
    void anEndpointWhoseEntryOutlivesItsExpiryIsUsedAgain() throws IOException {
        HostFixture host = hosts.get(0);
        host.addEndpoint("back");
        configure(1, "kept");
        awaitStatus(host, "kept", 200);
        store.keepCopy();
        store.delete("servers", "back");
        host.awaitLine("endpoint.removed", "back");
        store.restore();
        host.awaitLine("store.object_withheld", "back");

        host.awaitLine("store.object_released", "back");
    }

    /** Guards against an endpoint that is dropped, or a lost entry that stays, after a restore. */
    @Test
    void anEndpointThatJoinedAfterTheCopyStaysInUseIfItIsWrittenAgain() throws Exception {
        HostFixture host = hosts.get(0);
        configure(1, "kept");
        awaitStatus(host, "kept", 200);
        store.keepCopy();
        ScriptedEndpoint joined = host.addEndpoint("joined");
        host.addEndpoint("lost");
        host.awaitLine("endpoint.listed", "lost");
        store.restore();
        host.awaitLine("store.restored", "servers");
        host.listEndpoint("joined", joined, "ready");

        host.awaitLine("endpoint.removed", "lost", "not back");
        assertThat(host.hasLine("endpoint.removed", "joined")).isFalse();
    }

    /** Guards against requests to an evacuated zone, and a host that the others do not know, after a restore. */
    @Test
    void evacuationsAndHostsThatTheStoreLostAreKeptUntilTheyAreWrittenAgain() throws Exception {
        HostFixture host = hosts.get(0);
        configure(1, "kept");
        awaitStatus(host, "kept", 200);
        store.keepCopy();
        store.put("evacuations", "zone-b", "{}");
        host.awaitLine("zone.evacuation", "zone-b", "\"evacuated\":true");
        startHost();
        HostFixture.await(() -> store.objectCount("carawaylift-hosts") == 2);
        HostFixture.await(() -> host.metric("carawaylift_hosts_alive") == 2);
        store.restore();
        host.awaitLine("store.restored", "evacuations");
        store.put("evacuations", "zone-b", "{}");

        HostFixture.await(() -> store.objectCount("carawaylift-hosts") == 2);
        Thread.sleep(2500);
        assertThat(host.hasLine("zone.evacuation", "\"evacuated\":false")).isFalse();
        assertThat(host.metric("carawaylift_hosts_alive")).isEqualTo(2.0);
    }

    private static String entry(ScriptedEndpoint endpoint, String state, long sequence) {
        return """
                {"service":"service","address":"%s","zone":"zone-a","version":"v1","maxConcurrency":4,"state":"%s",
                "coldRemainingMs":0,"sequence":%d,"born":1}""".formatted(endpoint.address(), state, sequence);
    }
}
