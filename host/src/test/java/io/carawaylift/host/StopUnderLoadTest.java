package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;
import static io.carawaylift.standin.ScriptedEndpoint.ok;
import static io.carawaylift.standin.ScriptedEndpoint.write;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A planned stop while callers keep sending and read slowly. */
final class StopUnderLoadTest {
    private static final int GRACE_SECONDS = 6;

    private HostFixture fixture;
    private ScriptedEndpoint endpoint;

    @BeforeEach
    void start() throws IOException {
        fixture = new HostFixture(GRACE_SECONDS);
        fixture.configure(1, "service", 6000);
        endpoint = fixture.addEndpoint("e-1");
        fixture.awaitLine("endpoint.listed", "e-1");
        fixture.awaitLine("configuration.in_force");
        HostFixture.await(() -> {
            try {
                return fixture.readiness() == 200;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Guards against a large response that is cut off because its caller has not read it yet when the host stops. */
    @Test
    void aResponseThatIsBeingReadSlowlyIsCompletedBeforeTheStop() throws Exception {
        int length = 6 * 1024 * 1024;
        endpoint.script((request, connection) -> write(connection, ok(request.id(), "x".repeat(length))));
        try (RawCaller caller = fixture.caller()) {
            caller.send("GET", "/download/1", "id-1", "");
            fixture.awaitLine("\"event\":\"request\"", "id-1");
            CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture::stopHost);
            fixture.awaitLine("stopping");
            // Longer than the time in which a stopping host accepts requests.
            Thread.sleep(3200);
            RawCaller.Response response = caller.read();

            assertThat(response.status()).isEqualTo(200);
            assertThat(response.complete()).isTrue();
            stop.join();
        }
    }

    /**
     * Guards against a stop that fails, and cuts off the requests in progress, since connections close while it looks for
     * busy ones.
     */
    @Test
    void requestsInProgressAreAnsweredAlthoughManyConnectionsCloseDuringTheStop() throws Exception {
        int idleConnections = 800;
        int requests = 3;
        endpoint.script((request, connection) -> {
            Thread.sleep(1500);
            ScriptedEndpoint.respondOk(request, connection);
        });
        List<RawCaller> idle = new ArrayList<>();
        List<RawCaller> busy = new ArrayList<>();
        try {
            for (int i = 0; i < requests; i++) {
                busy.add(fixture.caller());
            }
            for (int i = 0; i < idleConnections; i++) {
                idle.add(fixture.caller());
            }
            CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture::stopHost);
            fixture.awaitLine("\"event\":\"stopping\"");
            // The idle connections are closed while these run.
            Thread.sleep(1900);
            for (int i = 0; i < requests; i++) {
                busy.get(i).send("POST", "/unsafe/1", "id-" + i, "");
            }
            HostFixture.await(() -> endpoint.requests().size() == requests);
            stop.join();
            for (RawCaller caller : busy) {
                assertThat(caller.read().status()).isEqualTo(200);
            }
        } finally {
            for (RawCaller caller : idle) {
                caller.close();
            }
            for (RawCaller caller : busy) {
                caller.close();
            }
        }
    }

    /**
     * Guards against a request that arrives late in the grace period, is passed on and is cut off at its end; it must
     * be refused as not run, so that its caller can send it to another host.
     */
    @Test
    void aRequestThatIsCompleteLateInTheGracePeriodIsRefusedAndNotRun() throws Exception {
        endpoint.script((request, connection) -> {
            Thread.sleep(1500);
            ScriptedEndpoint.respondOk(request, connection);
        });
        try (RawCaller caller = fixture.caller()) {
            caller.sendRaw(
                    "POST /unsafe/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: late\r\nContent-Length: 4\r\n\r\nab");
            CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture::stopHost);
            fixture.awaitLine("\"event\":\"stopping\"");
            Thread.sleep(4200);
            caller.sendRaw("cd");
            RawCaller.Response response = caller.read();

            assertThat(response.status()).isEqualTo(503);
            assertThat(response.header("Retry-After")).isEqualTo("0.00");
            assertThat(response.header("Connection")).isEqualTo("close");
            stop.join();
        }
        assertThat(endpoint.requests()).isEmpty();
    }

    /** Guards against callers that learn nothing when the grace period ends before their requests do. */
    @Test
    void requestsThatOutlastTheGracePeriodAreAnsweredTruthfullyBeforeTheEnd() throws Exception {
        endpoint.script((request, connection) -> Thread.sleep(20_000));
        try (RawCaller running = fixture.caller();
                RawCaller unread = fixture.caller()) {
            running.send("POST", "/unsafe/1", "running", "");
            unread.sendRaw(
                    "POST /unsafe/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: unread\r\nContent-Length: 4\r\n\r\nab");
            HostFixture.await(() -> endpoint.requests().size() == 1);
            CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture::stopHost);

            // The endpoint may have run the first one.
            assertThat(running.read().status()).isEqualTo(502);
            assertThat(unread.read().status()).isEqualTo(503);
            stop.join();
        }
        assertThat(endpoint.requests()).hasSize(1);
    }

    /** Guards against requests that were accepted during a stop and get no answer. */
    @Test
    void everyRequestThatWasPassedOnDuringAStopIsAnswered() throws Exception {
        endpoint.script((request, connection) -> {
            Thread.sleep(300);
            ScriptedEndpoint.respondOk(request, connection);
        });
        AtomicInteger answered = new AtomicInteger();
        List<String> unanswered = new ArrayList<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            String name = "caller-" + i;
            Thread thread = new Thread(() -> callUntilRefused(name, answered, unanswered), name);
            thread.start();
            callers.add(thread);
        }
        HostFixture.await(() -> answered.get() > 12);
        fixture.stopHost();
        for (Thread thread : callers) {
            thread.join(10_000);
        }

        List<String> passedOn = endpoint.requests().stream()
                .map(ScriptedEndpoint.Request::id)
                .filter(unanswered::contains)
                .toList();
        assertThat(passedOn).isEmpty();
        assertThat(answered.get()).isGreaterThan(24);
    }

    /** Sends one request after the other, each on a new connection, until the host accepts none. */
    private void callUntilRefused(String name, AtomicInteger answered, List<String> unanswered) {
        for (int i = 0; ; i++) {
            String id = name + "-" + i;
            try (RawCaller caller = fixture.caller()) {
                int status = caller.call("POST", "/unsafe/1", id).status();
                if (status == 0) {
                    synchronized (unanswered) {
                        unanswered.add(id);
                    }
                } else {
                    answered.incrementAndGet();
                }
            } catch (ConnectException e) {
                return;
            } catch (SocketException e) {
                synchronized (unanswered) {
                    unanswered.add(id);
                }
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }
    }

    private static String request(String method, String target, String id) {
        return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\n\r\n";
    }

    private static void assertClosedAfter(RawCaller caller, String... ids) throws IOException {
        for (int i = 0; i < ids.length; i++) {
            RawCaller.Response response = caller.read();
            assertThat(response.body()).isEqualTo("body of " + ids[i]);
            assertThat(response.header("Connection")).isEqualTo(i == ids.length - 1 ? "close" : null);
        }
        assertThat(caller.closesWithoutData()).isTrue();
    }

    /** Guards against a request that runs behind the last response of a stopping host. */
    @Test
    void aStoppingHostRunsNothingBehindTheRequestInProgress() throws Exception {
        CountDownLatch slowMayEnd = new CountDownLatch(1);
        endpoint.script((request, connection) -> {
            slowMayEnd.await();
            ScriptedEndpoint.respondOk(request, connection);
        });
        try (RawCaller caller = fixture.caller();
                RawCaller beside = fixture.caller()) {
            caller.sendRaw(request("POST", "/unsafe/1", "slow-1") + request("POST", "/unsafe/1", "behind-1"));
            beside.sendRaw(request("GET", "/safe/1", "slow-2") + request("GET", "/safe/1", "slow-3"));
            HostFixture.await(() -> endpoint.requests().size() == 3);
            CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture::stopHost);
            fixture.awaitLine("\"event\":\"stopping\"");
            Thread.sleep(100);
            caller.sendRaw(request("POST", "/unsafe/1", "behind-2"));
            beside.sendRaw(request("GET", "/safe/1", "behind-3"));
            Thread.sleep(300);
            slowMayEnd.countDown();
            caller.sendRaw(request("POST", "/unsafe/1", "behind-4"));

            assertClosedAfter(caller, "slow-1");
            assertClosedAfter(beside, "slow-2", "slow-3");
            stop.join();
        }
        assertThat(endpoint.requests()).hasSize(3);
    }
}
