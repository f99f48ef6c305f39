package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.model.RecordBytes;
import io.carawaylift.platform.store.StoreTransport;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls over real sockets to a store whose answers are invalid or incomplete: none is taken for an answer. */
final class StoreConnectionsTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final EventLog log = new EventLog("host-1", logOutput);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        log.close();
    }

    private StoreTransport.Response call(HeadOnlyEndpoint store) throws Exception {
        HostLoop loop = new HostLoop(group.next(), log);
        HostMetrics metrics = new HostMetrics();
        StoreConnections connections =
                new StoreConnections(loop, store.address(), metrics, new PeerFaults(log, metrics));
        CompletableFuture<CompletableFuture<StoreTransport.Response>> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(connections.send("GET", "/v1/objects/config", RecordBytes.of(""), TIMEOUT)));
        return result.get(10, TimeUnit.SECONDS).get(10, TimeUnit.SECONDS);
    }

    /** Guards against a list or a change that is read from an invalid answer. */
    @Test
    void anInvalidAnswerIsAFailureOfTheCall() throws Exception {
        for (String answer : List.of(
                "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100000002\r\n{}\r\n0\r\n\r\n")) {
            try (HeadOnlyEndpoint store =
                    new HeadOnlyEndpoint((head, connection, in) -> HeadOnlyEndpoint.write(connection, answer))) {
                ExecutionException thrown = assertThrows(ExecutionException.class, () -> call(store), answer);
                assertWithMessage(answer).that(thrown).hasCauseThat().isInstanceOf(IOException.class);
            }
        }
        HostFixture.await(() -> logOutput
                        .toString(StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> line.contains("message.invalid") && line.contains("\"kind\":\"store\""))
                        .count()
                == 4);
    }

    /** Guards against a part of a list that is taken for the list, and against the loss of a whole one. */
    @Test
    void anAnswerWithoutALengthIsCompleteOnlyAfterAnOrderlyClose() throws Exception {
        for (boolean orderly : new boolean[] {true, false}) {
            try (HeadOnlyEndpoint store = new HeadOnlyEndpoint((head, connection, in) -> {
                HeadOnlyEndpoint.write(connection, "HTTP/1.1 200 OK\r\n\r\n{}");
                Thread.sleep(100);
                connection.setSoLinger(!orderly, 0);
                connection.close();
            })) {
                if (orderly) {
                    assertThat(call(store).body().text()).isEqualTo("{}");
                } else {
                    assertThrows(ExecutionException.class, () -> call(store));
                }
            }
        }
    }
}
