package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.customer.Authorization;
import io.carawaylift.decisions.customer.ClockReading;
import io.carawaylift.decisions.customer.Customer;
import io.carawaylift.decisions.customer.CustomerDirectory;
import io.carawaylift.decisions.route.RequestKind;
import io.carawaylift.decisions.route.Route;
import io.carawaylift.decisions.route.WeightedService;
import io.carawaylift.model.ResultCode;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A relay and 22 followers, as in a region of 67 hosts in three regions, in virtual time without a network. */
final class ConfigurationFreshnessTest {
    private static final int FOLLOWERS = 22;
    private static final long REVOCATION_DELAY_MILLIS = 5000;

    /** Wait of a watch of the configuration plus two answers that take the store's longest usual time. */
    private static final long WATCH_MILLIS = 2300;

    private static final long SLOW_ANSWER_MILLIS = 240;
    private static final long LATENCY_MILLIS = 4;

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.millis == b.millis ? Long.compare(a.number, b.number) : Long.compare(a.millis, b.millis));
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final EventLog log = new EventLog("host", logOutput);
    private final List<Node> followers = new ArrayList<>();
    private final Node relay = new Node(true);
    private long nowMillis;
    private long eventNumber;
    private long messages;
    private long linkDelayMillis;
    private boolean storeAnswers = true;
    private CustomerDirectory customers = CustomerDirectory.EMPTY;

    private record Event(long millis, long number, Runnable action) {}

    /** A host with its own clocks. */
    private final class Node implements ConfigurationFreshness.State {
        private final boolean isRelay;
        private final ConfigurationFreshness freshness =
                new ConfigurationFreshness(REVOCATION_DELAY_MILLIS, this::clock, this, this::sendToRelay, log);
        private long digest = 7;
        private long version = 3;
        private long suspendedMillis;

        Node(boolean isRelay) {
            this.isRelay = isRelay;
        }

        ClockReading clock() {
            return new ClockReading((nowMillis - suspendedMillis) * 1_000_000, 1_700_000_000_000L + nowMillis);
        }

        private void sendToRelay(Message message) {
            send(relay, this, message);
        }

        @Override
        public boolean isProofRequired() {
            return true;
        }

        @Override
        public boolean isOwnProof() {
            return isRelay;
        }

        @Override
        public long digest() {
            return digest;
        }

        @Override
        public long version() {
            return version;
        }
    }

    private record Reply(ConfigurationFreshnessTest test, Node to, Node from) implements Connection {
        @Override
        public Message.Hello remote() {
            return null;
        }

        @Override
        public boolean send(Message message) {
            test.send(to, from, message);
            return true;
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void close() {}
    }

    private void send(Node to, Node from, Message message) {
        messages++;
        after(LATENCY_MILLIS + linkDelayMillis, () -> to.freshness.messageReceived(new Reply(this, from, to), message));
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(nowMillis + millis, eventNumber++, action));
    }

    private void run(long millis) {
        long end = nowMillis + millis;
        while (!events.isEmpty() && events.peek().millis <= end) {
            Event event = events.poll();
            nowMillis = event.millis;
            event.action.run();
        }
        nowMillis = end;
    }

    private void start() {
        watch();
        for (int i = 0; i < FOLLOWERS; i++) {
            Node follower = new Node(false);
            followers.add(follower);
            after(i * 13L, () -> checkPeriodically(follower));
        }
    }

    private void watch() {
        ClockReading sent = relay.clock();
        after(WATCH_MILLIS + SLOW_ANSWER_MILLIS, () -> {
            if (storeAnswers) {
                relay.freshness.proven(sent.plusMillis(WATCH_MILLIS));
            }
            watch();
        });
    }

    private void checkPeriodically(Node node) {
        node.freshness.check();
        after(ConfigurationFreshness.CHECK_INTERVAL_MILLIS, () -> checkPeriodically(node));
    }

    private long usableFollowers() {
        return followers.stream().filter(each -> each.freshness.isUsable()).count();
    }

    @AfterEach
    void stop() {
        log.close();
    }

    private String log() {
        log.close();
        return logOutput.toString(StandardCharsets.UTF_8);
    }

    /**
     * Load: a relay and 22 followers; each answer of the store takes 240 ms. Guards against followers that stop in
     * normal operation, and against messages that cost more than the region can bear.
     */
    @Test
    void inNormalOperationNoFollowerStops() {
        start();
        run(6000);
        messages = 0;
        for (int i = 0; i < 60_000; i += 10) {
            run(10);
            assertThat(usableFollowers()).isEqualTo(FOLLOWERS);
        }
        // Of each follower, requests and replies together.
        assertThat(messages / 60.0 / FOLLOWERS).isLessThan(6.0);
    }

    /** Guards against followers that go on although the store stopped answering, and against missing log lines. */
    @Test
    void withoutAnswersAllStopInTimeAndResume() {
        start();
        run(10_000);
        storeAnswers = false;
        long lastProofAge = Math.round(relay.freshness.ageSeconds() * 1000);
        run(2900 - lastProofAge);
        assertThat(usableFollowers()).isEqualTo(FOLLOWERS);
        run(600);
        assertThat(usableFollowers()).isEqualTo(0);
        storeAnswers = true;
        run(4000);
        assertThat(usableFollowers()).isEqualTo(FOLLOWERS);
        String lines = log();
        assertThat(lines)
                .containsMatch("\"configuration.unproven\",\"version\":3,\"ageMs\":3[5-7]..,\"maxAgeMs\":3500");
        assertThat(lines).contains("\"event\":\"configuration.proven\"");
    }

    /** Guards against messages that a broken link delays for seconds and that are taken for news. */
    @Test
    void delayedMessagesProveNothing() {
        start();
        run(10_000);
        linkDelayMillis = 4000;
        run(8000);
        for (int i = 0; i < 100; i++) {
            run(100);
            assertThat(usableFollowers()).isEqualTo(0);
        }
    }

    /** Guards against a proof of another configuration than the one that the host knows. */
    @Test
    void aReplyAboutAnotherConfigurationProvesNothing() {
        start();
        followers.get(0).digest = 8;
        followers.get(1).version = 2;
        followers.get(2).version = 4;
        run(10_000);

        assertThat(followers.get(0).freshness.isUsable()).isFalse();
        assertThat(followers.get(1).freshness.isUsable()).isFalse();
        assertThat(followers.get(2).freshness.isUsable()).isTrue();
    }

    /** Guards against a request that a machine sends just after it was suspended. */
    @Test
    void aSuspendedFollowerStopsBeforeItAsksAgain() {
        start();
        run(10_000);
        Node follower = followers.get(0);
        nowMillis += 20_000;
        follower.suspendedMillis = 20_000;

        assertThat(follower.freshness.isUsable()).isFalse();
    }

    /** Guards against a request that waits in a queue while its key is withdrawn or the proof gets too old. */
    @Test
    void aWaitingRequestIsCheckedAgain() {
        Customer north = new Customer("north", OptionalInt.empty(), 0, 0, Set.of());
        Customer south = new Customer("south", OptionalInt.empty(), 0, 0, Set.of());
        customers = new CustomerDirectory(Map.of(north, Set.of("key-n"), south, Set.of("key-s")));
        relay.freshness.proven(relay.clock());
        RequestAccess request = access("key-n");
        RequestAccess unknown = access("key-x");
        RequestAccess none = access();
        assertThat(request.authorization()).isEqualTo(Authorization.of(customers, false, List.of("key-n")));
        assertThat(request.refusal()).isEmpty();
        assertThat(unknown.refusal()).hasValue(ResultCode.UNKNOWN_KEY);

        run(3500);
        assertThat(request.refusal()).hasValue(ResultCode.CONFIGURATION_UNPROVEN);
        assertThat(unknown.refusal()).hasValue(ResultCode.CONFIGURATION_UNPROVEN);
        assertThat(none.refusal()).hasValue(ResultCode.UNKNOWN_KEY);

        relay.freshness.proven(relay.clock());
        assertThat(request.refusal()).isEmpty();
        customers = new CustomerDirectory(Map.of(north, Set.of("other"), south, Set.of("key-s", "key-n")));
        assertThat(request.refusal()).hasValue(ResultCode.UNKNOWN_KEY);
    }

    private RequestAccess access(String... keys) {
        Route route = new Route(
                "route",
                "a.example",
                "/",
                RequestKind.SAFE,
                1000,
                1000,
                0,
                List.of(new WeightedService("service", 1)),
                1,
                false,
                Set.of(),
                false);
        return new RequestAccess(new RequestAccess.Source(() -> customers, relay.freshness), route, List.of(keys));
    }
}
