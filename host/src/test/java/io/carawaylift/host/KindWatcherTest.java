package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.currency.CurrencyTimes;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.peer.Message;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.ObjectStoreClient.ListMode;
import io.carawaylift.platform.store.StoreItem;
import io.carawaylift.platform.store.StoreTransport;
import io.netty.channel.DefaultEventLoop;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Two kinds that are followed over a transport whose responses the test gives, or does not give. */
final class KindWatcherTest {
    private static final String NO_CHANGES = "{\"events\":[],\"at\":5}";
    private static final String NO_OBJECTS = "{\"items\":[],\"at\":5}";

    private final DefaultEventLoop eventLoop = new DefaultEventLoop();
    private final EventLog log = new EventLog("host-1", OutputStream.nullOutputStream());
    private final HostLoop loop = new HostLoop(eventLoop, log);
    private final StoreRetries retries = new StoreRetries(loop);
    private final StoreRelay relay = new StoreRelay(CurrencyTimes.of(Duration.ofSeconds(4)));
    private final List<Call> calls = new CopyOnWriteArrayList<>();
    private final ObjectStoreClient store = new ObjectStoreClient(this::send, Duration.ofSeconds(1));
    private final List<String> changed = new ArrayList<>();
    private Consumer<StoreItem> onChange = item -> changed.add(item.name());
    private volatile RuntimeException sendFailure;
    private KindWatcher endpoints;
    private KindWatcher configuration;

    private record Call(String target, CompletableFuture<StoreTransport.Response> response) {}

    private CompletableFuture<StoreTransport.Response> send(
            String method, String target, RecordBytes body, Duration timeout) {
        RuntimeException failure = sendFailure;
        if (failure != null) {
            sendFailure = null;
            throw failure;
        }
        Call call = new Call(target, new CompletableFuture<>());
        calls.add(call);
        return call.response();
    }

    private KindWatcher watcher(String kind) {
        KindListener listener = new KindListener() {
            @Override
            public void changed(StoreItem item) {
                onChange.accept(item);
            }

            @Override
            public void deleted(Removal removal) {}

            @Override
            public void synchronizedWithStore() {}
        };
        return new KindWatcher(kind, ListMode.LATEST, store, retries, relay, loop, log, listener);
    }

    @BeforeEach
    void startAndListBothKinds() {
        endpoints = watcher("servers");
        configuration = watcher("config");
        loop.runAndWait(endpoints::start);
        loop.runAndWait(configuration::start);
        respond(last("servers"), NO_OBJECTS);
        respond(last("config"), NO_OBJECTS);
    }

    @AfterEach
    void stop() {
        eventLoop.shutdownGracefully().awaitUninterruptibly(1000);
    }

    private List<Call> calls(String kind) {
        return calls.stream().filter(call -> call.target().contains("/" + kind)).toList();
    }

    private Call last(String kind) {
        List<Call> ofKind = calls(kind);
        return ofKind.get(ofKind.size() - 1);
    }

    /** Responds to a call; returns whether it was still waited for. */
    private boolean respond(Call call, String body) {
        AtomicBoolean waitedFor = new AtomicBoolean();
        loop.runAndWait(
                () -> waitedFor.set(call.response().complete(new StoreTransport.Response(200, RecordBytes.of(body)))));
        return waitedFor.get();
    }

    private Call awaitCall(String kind, int number) {
        HostFixture.await(() -> calls(kind).size() >= number);
        return calls(kind).get(number - 1);
    }

    private boolean isCurrent(KindWatcher watcher) {
        boolean[] current = new boolean[1];
        loop.runAndWait(() -> current[0] = watcher.isCurrent());
        return current[0];
    }

    /**
     * Guards against a configuration that is held up by a call from before the store responded again, and against
     * telling other hosts that it is current before the replaced call is answered.
     */
    @Test
    void aCallFromBeforeTheStoreRespondedAgainIsReplaced() {
        Call silent = last("config");
        loop.runAndWait(() -> last("servers").response().completeExceptionally(new IOException("no response")));
        Call probe = awaitCall("servers", 3);
        assertThat(probe.target()).contains("waitMs=1");
        assertThat(last("config")).isEqualTo(silent);
        respond(probe, NO_CHANGES);
        Call replacement = awaitCall("config", 3);
        assertThat(isCurrent(configuration)).isFalse();
        respond(replacement, """
                {"events":[{"object":{"metadata":{"name":"main","revision":6},"specification":{}}}],"at":6}""");

        assertThat(changed).containsExactly("main");
        assertThat(isCurrent(configuration)).isTrue();
        respond(silent, """
                {"events":[{"object":{"metadata":{"name":"late","revision":7},"specification":{}}}],"at":7}""");
        assertThat(changed).containsExactly("main");
    }

    /** Guards against calls that multiply when the store refuses some, since a refusal shows that it responds. */
    @Test
    void aRefusedCallDoesNotReplaceOthers() {
        Call waiting = last("config");
        loop.runAndWait(
                () -> last("servers").response().complete(new StoreTransport.Response(429, RecordBytes.of("{}"))));
        respond(awaitCall("servers", 3), NO_CHANGES);
        awaitCall("servers", 4);

        assertThat(last("config")).isEqualTo(waiting);
    }

    /** Guards against a kind that is not followed any more because one call could not be made. */
    @Test
    void aCallThatCannotBeMadeIsMadeLater() {
        sendFailure = new IllegalStateException("no memory for a connection");
        loop.runAndWait(() -> last("config").response().completeExceptionally(new IOException("no response")));
        HostFixture.await(() -> sendFailure == null);

        awaitCall("config", 3);
    }

    /** Guards against a kind that is not followed any more because its reader failed on one object. */
    @Test
    void aReaderThatThrowsDoesNotEndTheCalls() {
        onChange = item -> {
            throw new StackOverflowError("nested too deeply");
        };
        respond(last("config"), """
                {"events":[{"object":{"metadata":{"name":"main","revision":6},"specification":{}}}],"at":6}""");

        awaitCall("config", 3);
    }

    /** Another host of the region, to which this one is the relay. */
    private static final class OneFollower implements StoreRelay.Region {
        private final List<Message> sent = new CopyOnWriteArrayList<>();

        @Override
        public boolean isRelay() {
            return true;
        }

        @Override
        public boolean hasOtherHosts() {
            return true;
        }

        @Override
        public void send(Message message) {
            sent.add(message);
        }

        @Override
        public void sendToAny(Message message) {}

        private List<String> lastPositions() {
            Message last = sent.get(sent.size() - 1);
            return ((Message.ObjectPositions) last)
                    .positions().stream().map(Message.ObjectPosition::kind).toList();
        }
    }

    /**
     * Guards against a relay that tells the others of its region for seconds that the configuration is current, because
     * calls for endpoints are answered, while the response for the configuration is lost.
     */
    @Test
    void aKindWhoseResponseIsLostIsReadAgainAndNotConfirmedMeanwhile() {
        OneFollower region = new OneFollower();
        loop.runAndWait(() -> relay.setRegion(region));
        respond(last("config"), NO_CHANGES);
        respond(last("servers"), NO_CHANGES);
        assertThat(region.lastPositions()).containsExactly("servers", "config");
        Call lost = last("config");
        long sentNanos = System.nanoTime();
        int next = calls("config").size() + 1;
        HostFixture.await(() -> {
            if (!last("servers").response().isDone()) {
                respond(last("servers"), NO_CHANGES);
            }
            return calls("config").size() >= next;
        });
        long detectedMillis = (System.nanoTime() - sentNanos) / 1_000_000;
        respond(last("servers"), NO_CHANGES);

        assertThat(detectedMillis).isLessThan(3000);
        assertThat(lost.response().isCancelled()).isTrue();
        assertThat(last("config").target()).contains("waitMs=1");
        assertThat(region.lastPositions()).containsExactly("servers");
        // On a busy machine the call may have been given up and replaced meanwhile.
        HostFixture.await(() -> {
            respond(last("servers"), NO_CHANGES);
            return respond(last("config"), NO_CHANGES);
        });
        assertThat(region.lastPositions()).containsExactly("servers", "config");
    }

    /** Guards against a proof of the configuration that is younger than the call which was answered. */
    @Test
    void theProvenAgeCountsFromTheTimeAtWhichTheAnsweredCallWasSent() throws InterruptedException {
        respond(last("config"), """
                {"events":[{"object":{"metadata":{"name":"main","revision":6},"specification":{}}}],"at":6}""");
        Call call = awaitCall("config", 3);
        Thread.sleep(200);
        respond(call, """
                {"events":[{"object":{"metadata":{"name":"main","revision":7},"specification":{}}}],"at":7}""");
        long[] age = new long[1];
        loop.runAndWait(() -> age[0] = configuration.provenAgeMillis().orElseThrow());

        assertThat(age[0]).isAtLeast(200);
        assertThat(age[0]).isLessThan(1000);
    }
}
