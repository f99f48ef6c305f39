package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.SimulatedStore;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Several hosts of one region that share a store. */
final class StoreRelayTest {
    private static final int HOSTS = 4;

    private final List<HostFixture> hosts = new ArrayList<>();
    private SimulatedStore store;

    @BeforeEach
    void start() throws IOException {
        store = new SimulatedStore();
        for (int i = 1; i <= HOSTS; i++) {
            hosts.add(new HostFixture(store, "host-" + i));
        }
        hosts.get(0).addEndpoint("e-1");
        hosts.get(0).configure(1);
        awaitInForce(1);
    }

    @AfterEach
    void stop() throws IOException {
        for (HostFixture host : hosts) {
            host.close();
        }
        store.close();
    }

    private void awaitInForce(int version) {
        hosts.forEach(host -> host.awaitLine("configuration.in_force", "\"version\":" + version));
    }

    private void awaitFollowers(int followers) {
        HostFixture.await(() -> hosts.stream().filter(this::followsAHost).count() == followers);
    }

    private boolean followsAHost(HostFixture host) {
        String last = host.log()
                .lines()
                .filter(line -> line.contains("store.source") && line.contains("\"kind\":\"config\""))
                .reduce("", (before, line) -> line);
        return last.contains("\"source\":\"host\"");
    }

    private static double calls(HostFixture host) {
        return host.host().metrics().total("carawaylift.store.calls");
    }

    private HostFixture relay() {
        return hosts.stream().filter(host -> !followsAHost(host)).findFirst().orElseThrow();
    }

    /** Guards against calls to the store that grow with the number of hosts in a region. */
    @Test
    void oneHostOfTheRegionFollowsTheStoreForTheOthers() throws Exception {
        awaitFollowers(HOSTS - 1);
        // Watches sent earlier end with the next change of their kind, which must not come in the counted time.
        for (int i = 2; i < 6; i++) {
            hosts.get(0).configure(i);
            hosts.get(0).addEndpoint("e-" + i);
            awaitInForce(i);
            String endpoint = "\"endpoint\":\"e-" + i + "\"";
            hosts.forEach(host -> host.awaitLine("endpoint.listed", endpoint));
        }
        HostFixture relay = relay();
        Map<HostFixture, Double> callsBefore = new HashMap<>();
        hosts.forEach(host -> callsBefore.put(host, calls(host)));
        long startNanos = System.nanoTime();
        Thread.sleep(3000);
        Map<HostFixture, Double> calls = new HashMap<>();
        hosts.forEach(host -> calls.put(host, calls(host) - callsBefore.get(host)));
        long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos);

        // Each of three kinds is asked every 1.9 s, once sooner to move its responses away from the others'.
        assertThat(calls.remove(relay)).isAtMost(seconds + 1 + 3.0);
        calls.values().forEach(ofFollower -> assertThat(ofFollower).isEqualTo(0));
    }

    /** Guards against currency that is bought with more calls: those of a settled region are counted. */
    @Test
    void theCallsOfASettledRegionAreBounded() throws Exception {
        awaitFollowers(HOSTS - 1);
        // The watches of the time in which the hosts find each other have ended by then.
        Thread.sleep(12_000);
        Map<HostFixture, Double> before = new HashMap<>();
        hosts.forEach(host -> before.put(host, calls(host)));
        HostFixture relay = relay();
        Thread.sleep(20_000);
        double ofRelay = 3 * (calls(relay) - before.get(relay));
        double all = 3
                * hosts.stream()
                        .mapToDouble(host -> calls(host) - before.get(host))
                        .sum();
        // 102 per minute with watches of 1, 3 and 3 s; one call in 20 s is 3 per minute.
        assertThat(ofRelay).isAtMost(105.0);
        assertThat(all - ofRelay).isEqualTo(0.0);
    }

    /** Guards against followers that miss changes after the relay has stopped. */
    @Test
    void changesAreInForceWithinTheLimitAfterTheRelayStops() throws IOException {
        awaitFollowers(HOSTS - 1);
        HostFixture relay = relay();
        hosts.remove(relay);
        relay.close();
        long changedNanos = System.nanoTime();
        hosts.get(0).configure(7);
        awaitInForce(7);

        assertThat(System.nanoTime() - changedNanos).isLessThan(2_500_000_000L);
    }

    /** Guards against an old configuration that stays in force because one response to the relay was lost. */
    @Test
    void aChangeWhoseResponseToTheRelayIsLostIsInForceEverywhereWithinTheStabilityWindow() {
        awaitFollowers(HOSTS - 1);
        store.loseWatch("config");
        long changedNanos = System.nanoTime();
        hosts.get(0).configure(9);
        awaitInForce(9);

        assertThat(System.nanoTime() - changedNanos).isLessThan(4_000_000_000L);
    }

    /** Guards against a region that goes on with an old configuration while only its relay has lost the store. */
    @Test
    void hostsThatReachTheStoreKnowAChangeSoonWhenTheRelayIsCutOffFromIt() throws Exception {
        awaitFollowers(HOSTS - 1);
        HostFixture relay = relay();
        relay.cutOffFromStore();
        long changedNanos = System.nanoTime();
        hosts.get(0).configure(9);
        hosts.stream()
                .filter(host -> host != relay)
                .forEach(host -> host.awaitLine("configuration.in_force", "\"version\":9"));

        assertThat(System.nanoTime() - changedNanos).isLessThan(2_000_000_000L);
    }

    /** Guards against requests to cold endpoints of a zone that is taken back, whose entries are not known yet. */
    @Test
    void theEndOfAnEvacuationWaitsForTheEntriesOfItsEndpoints() throws IOException {
        HostFixture first = hosts.get(0);
        store.put("evacuations", "zone-a", "{}");
        hosts.forEach(host -> host.awaitLine("zone.evacuation", "\"evacuated\":true"));
        awaitFollowers(HOSTS - 1);
        store.loseWatch("servers");
        first.addEndpoint("e-7");
        store.delete("evacuations", "zone-a");
        for (HostFixture host : hosts) {
            host.awaitLine("zone.evacuation", "\"evacuated\":false");
            List<String> lines = host.log().lines().toList();
            assertThat(indexOf(lines, "endpoint.listed", "e-7"))
                    .isLessThan(indexOf(lines, "zone.evacuation", "\"evacuated\":false"));
        }
    }

    private static int indexOf(List<String> lines, String... texts) {
        for (int i = 0; i < lines.size(); i++) {
            if (List.of(texts).stream().allMatch(lines.get(i)::contains)) {
                return i;
            }
        }
        return lines.size();
    }

    /** Guards against a host that refuses all requests because it started while the store was unreachable. */
    @Test
    void aHostThatStartsWhileTheStoreIsUnreachableLearnsFromTheOthers() throws IOException {
        awaitFollowers(HOSTS - 1);
        HostFixture restarted = hosts.remove(HOSTS - 1);
        restarted.close();
        store.rejectWith(503);
        hosts.get(0).awaitLine("dependency.lost", "\"store\"");
        restarted = new HostFixture(store, "host-" + HOSTS, restarted.peerPort());
        hosts.add(restarted);
        restarted.awaitLine("configuration.in_force", "\"version\":1");
        HostFixture host = restarted;
        HostFixture.await(() -> {
            try {
                return host.readiness() == 200;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        try (RawCaller caller = restarted.caller()) {
            assertThat(caller.call("GET", "/safe/1", "id").status()).isEqualTo(200);
        }
    }

    /** Guards against hosts that do not find each other because of the entries of hosts that are gone. */
    @Test
    void entriesOfHostsThatAreGoneDoNotHideTheLiveOnes() throws IOException {
        for (int i = 0; i < 40; i++) {
            store.put("carawaylift-hosts", "gone-" + i, "{\"address\":\"127.0.0.1:1\",\"region\":\"region-a\"}");
        }
        for (int i = HOSTS + 1; i <= HOSTS + 2; i++) {
            hosts.add(new HostFixture(store, "host-" + i));
        }
        HostFixture started = hosts.get(HOSTS + 1);
        HostFixture.await(() -> addresses(started).size() == HOSTS + 2);
        HostFixture.await(() -> addresses(hosts.get(0)).size() == HOSTS + 2);
    }

    /** Guards against lookups that return a stopped host or omit a live one. */
    @Test
    void lookupsReturnTheLiveHosts() throws IOException {
        HostFixture first = hosts.get(0);
        HostFixture.await(() -> addresses(first).size() == HOSTS);
        HostFixture stopped = hosts.remove(HOSTS - 1);
        stopped.close();
        HostFixture.await(() -> addresses(first).size() == HOSTS - 1);
        assertThat(addresses(first).toString())
                .doesNotContain(":" + stopped.host().callerAddress().getPort());
    }

    private static List<String> addresses(HostFixture host) {
        try (RawCaller caller = new RawCaller(host.host().lookupAddress())) {
            String body =
                    caller.call("GET", "/v1/resolve?region=region-a", "none").body();
            return List.of(body.replaceAll(".*\\[|\\].*", "").split(","));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
