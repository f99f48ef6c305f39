package io.carawaylift.entry;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.entry.EntryCluster.Result;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.ResultCode;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a second run of an at-most-once request, counted at the upstream. */
@Timeout(60)
class AtMostOnceRequestsTest {
    private final EntryCluster cluster = new EntryCluster();
    private final EntryProcess first = cluster.start("h1");
    private final EntryProcess second = cluster.start("h2");

    @AfterEach
    void stop() {
        cluster.close();
    }

    private static int number(ResultCode code) {
        return code.number();
    }

    /** By default OkHttp retries or follows up on each of these. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "408 Request Timeout",
                "503 Unavailable\r\nRetry-After: 0",
                "421 Misdirected Request",
                "307 Temporary Redirect\r\nLocation: /again",
                "308 Permanent Redirect\r\nLocation: /again",
                "401 Unauthorized\r\nWWW-Authenticate: Basic realm=x"
            })
    void responseThatInvitesRetryIsPassedOn(String status) throws IOException {
        ScriptedUpstream.Script script = (run, out) -> {
            ScriptedUpstream.write(out, "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
            cluster.endpoint("e1", upstream, 1, second).publish();
            for (EntryProcess entry : new EntryProcess[] {first, second}) {
                Result result = cluster.post(entry, "/s/book", cluster.ticket(entry));
                assertThat(result.status()).isEqualTo(Integer.parseInt(status.substring(0, 3)));
                assertThat(result.code()).isEqualTo(number(ResultCode.ANSWERED));
            }
            assertThat(upstream.runs()).hasSize(2);
        }
    }

    @Test
    void responseLostAfterRunIsUnknownAndRequestIsNotRunAgain() throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream((run, out) -> false)) {
            cluster.endpoint("e1", upstream, 2, second).publish();
            for (EntryProcess entry : new EntryProcess[] {first, second}) {
                String ticket = cluster.ticket(entry);
                for (int attempt = 0; attempt < 3; attempt++) {
                    assertThat(cluster.post(entry, "/s/book", ticket).code())
                            .isEqualTo(number(ResultCode.CONNECTION_LOST));
                }
            }
            assertThat(upstream.runs()).hasSize(2);
        }
    }

    @Test
    void everyAtMostOnceRequestUsesNewConnection() throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream(ScriptedUpstream.ok("booked"))) {
            cluster.endpoint("e1", upstream, 1, first).publish();
            for (int count = 0; count < 3; count++) {
                cluster.get(first, "/s/rooms");
                cluster.post(first, "/s/book", cluster.ticket(first));
            }
            long connections = upstream.runs().stream()
                    .filter(run -> run.requestLine().startsWith("POST"))
                    .map(ScriptedUpstream.Run::connection)
                    .distinct()
                    .count();
            assertThat(connections).isEqualTo(3);
            assertThat(upstream.runs().stream()
                            .map(ScriptedUpstream.Run::connection)
                            .distinct()
                            .count())
                    .isEqualTo(4);
        }
    }

    @Test
    void otherEntryProcessForwardsToProcessNamedInTicket() throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream(ScriptedUpstream.ok("booked"))) {
            cluster.endpoint("e1", upstream, 1, second).publish();
            String ticket = cluster.ticket(first);
            Result run = cluster.post(second, "/s/book", ticket);
            Result replayed = cluster.post(second, "/s/book", ticket);
            Result direct = cluster.post(first, "/s/book", ticket);
            assertThat(run.code()).isEqualTo(number(ResultCode.ANSWERED));
            assertThat(replayed.code()).isEqualTo(number(ResultCode.REPLAYED));
            assertThat(direct.body()).isEqualTo("booked");
            assertThat(upstream.runs()).hasSize(1);
        }
    }

    @Test
    void ticketOfTerminatedProcessYieldsUnknown() throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream(ScriptedUpstream.ok("booked"))) {
            cluster.endpoint("e1", upstream, 1, second).publish();
            String currentTicket = cluster.ticket(first);
            String ticketOfEarlierIncarnation = currentTicket.replace("h1.1.", "h1.0.");
            assertThat(cluster.post(second, "/s/book", ticketOfEarlierIncarnation)
                            .code())
                    .isEqualTo(number(ResultCode.ENTRY_GONE));
            cluster.service(first).abort();
            assertThat(cluster.post(second, "/s/book", currentTicket).code()).isEqualTo(number(ResultCode.ENTRY_GONE));
            assertThat(upstream.runs()).isEmpty();
        }
    }

    @Test
    void requestThatDidNotRunMayRunWithSameTicket() throws IOException {
        ScriptedUpstream.Script script = (run, out) -> {
            if (run.number() > 1) {
                return ScriptedUpstream.ok("booked").respond(run, out);
            }
            ScriptedUpstream.write(out, "HTTP/1.1 503 No\r\nCarawaylift-Not-Run: true\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
            cluster.endpoint("e1", upstream, 1, first).publish();
            String ticket = cluster.ticket(first);
            assertThat(cluster.post(first, "/s/book", ticket).code()).isEqualTo(number(ResultCode.UPSTREAM_REFUSED));
            assertThat(cluster.post(first, "/s/book", ticket).body()).isEqualTo("booked");
        }
    }

    @Test
    void retryJoinsRunningAttempt() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch finish = new CountDownLatch(1);
        ScriptedUpstream.Script script = (run, out) -> {
            started.countDown();
            finish.await();
            return ScriptedUpstream.ok("booked").respond(run, out);
        };
        try (ScriptedUpstream upstream = new ScriptedUpstream(script)) {
            cluster.endpoint("e1", upstream, 2, first).publish();
            String ticket = cluster.ticket(first);
            CompletableFuture<Result> original = CompletableFuture.supplyAsync(() -> unchecked(first, ticket));
            assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();
            CompletableFuture<Result> retry = CompletableFuture.supplyAsync(() -> unchecked(second, ticket));
            while (cluster.service(first).pages().status().inFlight() < 2) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            finish.countDown();
            assertThat(original.join().body()).isEqualTo("booked");
            assertThat(retry.join().body()).isEqualTo("booked");
            assertThat(upstream.runs()).hasSize(1);
        }
    }

    private Result unchecked(EntryProcess entry, String ticket) {
        try {
            return cluster.post(entry, "/s/book", ticket);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void ticketIsRequiredAndMustBeWellFormed() throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream(ScriptedUpstream.ok("booked"))) {
            cluster.endpoint("e1", upstream, 1, first).publish();
            assertThat(cluster.post(first, "/s/book", "").code()).isEqualTo(number(ResultCode.TICKET_REQUIRED));
            assertThat(cluster.post(first, "/s/book", "h1.x").code()).isEqualTo(number(ResultCode.BAD_REQUEST));
            assertThat(upstream.runs()).isEmpty();
        }
    }
}
