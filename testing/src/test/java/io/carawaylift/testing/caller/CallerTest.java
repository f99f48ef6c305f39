package io.carawaylift.testing.caller;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.Headers;
import io.carawaylift.model.Outcome;
import io.carawaylift.model.Rank;
import io.carawaylift.model.ResultCode;
import io.carawaylift.testing.caller.CallResult.Content;
import io.carawaylift.testing.http.HttpExchange;
import io.carawaylift.testing.http.HttpListener;
import io.carawaylift.testing.http.PatternContent;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the outcomes that callers derive from responses; the demonstration and the integration tests rely on them. */
final class CallerTest {
    private static final LoadPart AT_MOST_ONCE =
            new LoadPart("part", "s", "POST", "/book", 50, Rank.URGENT, 1, 2_000, List.of("c"));
    private static final LoadPart DOWNLOAD =
            new LoadPart("part", "s", "GET", "/download", 50, Rank.URGENT, 1, 2_000, List.of("c"));

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<HttpListener> listeners = new ArrayList<>();
    private final List<String> receivedTickets = new CopyOnWriteArrayList<>();
    private volatile Consumer<HttpExchange> firstHandler;
    private volatile Consumer<HttpExchange> secondHandler;
    private Caller caller;

    @BeforeEach
    void start() {
        String firstUrl = startListener(call -> handle(call, firstHandler));
        String secondUrl = startListener(call -> handle(call, secondHandler));
        List<Map<String, String>> entries = List.of(Map.of("url", firstUrl), Map.of("url", secondUrl));
        String lookupUrl = startListener(call -> call.respondJson(Map.of("entries", entries, "lifetimeMs", 60_000)));
        caller = new Caller(List.of("http://127.0.0.1:1", lookupUrl), List.of("10.1.0.1"));
    }

    @AfterEach
    void stop() {
        caller.close();
        listeners.forEach(HttpListener::stop);
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void aRetryAtAnotherHostKeepsTheTicketAndItsRefusalLeavesTheOutcomeUnknown() {
        firstHandler = HttpExchange::abort;
        secondHandler = call -> respondWithCode(call, ResultCode.QUEUE_FULL);
        CallResult result = caller.call(AT_MOST_ONCE, "t", 0);
        assertThat(receivedTickets).containsExactly("ticket", "ticket");
        assertThat(result.cutAttempts()).isEqualTo(1);
        assertThat(result.outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void aRefusalOfTheOnlyAttemptIsNotRun() {
        firstHandler = call -> respondWithCode(call, ResultCode.QUEUE_FULL);
        CallResult result = caller.call(AT_MOST_ONCE, "t", 0);
        assertThat(result.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(result.attempts()).isEqualTo(1);
    }

    @Test
    void aResponseWithoutACodeOrWithWrongContentIsReported() {
        firstHandler = call -> call.respond(200, Map.of(), new byte[50]);
        assertThat(caller.call(DOWNLOAD, "t", 0).content()).isEqualTo(Content.FOREIGN);
        firstHandler = call -> respondWithContent(call, new PatternContent("/download/other").bytes(0, 50));
        assertThat(caller.call(DOWNLOAD, "t", 0).content()).isEqualTo(Content.FOREIGN);
        firstHandler = call -> respondWithContent(call, new PatternContent("/download/t").bytes(0, 49));
        assertThat(caller.call(DOWNLOAD, "t", 0).content()).isEqualTo(Content.SHORT);
        firstHandler = call -> respondWithContent(call, new PatternContent("/download/t").bytes(0, 50));
        assertThat(caller.call(DOWNLOAD, "t", 0).content()).isEqualTo(Content.CORRECT);
    }

    @Test
    void aLoadCountsEveryArrival() {
        firstHandler = call -> respondWithCode(call, ResultCode.QUEUE_FULL);
        OpenLoopLoad load = new OpenLoopLoad(caller, "l", List.of(AT_MOST_ONCE.withRate(200)), 7, 2);
        PartReport report = load.run(0.5).get(0);
        assertThat(report.offered() + report.notOffered()).isGreaterThan(20);
        assertThat(report.notRun()).isEqualTo(report.offered());
        assertThat(load.outcomes()).hasSize((int) report.offered());
    }

    private String startListener(Consumer<HttpExchange> handler) {
        HttpListener listener = new HttpListener(eventLoops, "127.0.0.1", 0, 100, handler);
        listener.start();
        listeners.add(listener);
        return "http://127.0.0.1:" + listener.port();
    }

    private void handle(HttpExchange call, Consumer<HttpExchange> handler) {
        if (call.path().equals("/tickets")) {
            call.respondJson(Map.of("tickets", List.of("ticket")));
            return;
        }
        call.header(Headers.TICKET).ifPresent(receivedTickets::add);
        handler.accept(call);
    }

    private static void respondWithCode(HttpExchange call, ResultCode code) {
        call.respond(code.httpStatus(), Map.of(Headers.CODE, Integer.toString(code.number())), new byte[0]);
    }

    private static void respondWithContent(HttpExchange call, byte[] body) {
        call.respond(200, Map.of(Headers.CODE, "100"), body);
    }
}
