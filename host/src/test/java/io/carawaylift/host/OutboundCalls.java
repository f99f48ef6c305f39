package io.carawaylift.host;

import io.carawaylift.host.OutboundConnection.ResponseLimits;
import io.carawaylift.platform.store.RequestHeaders;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Sends single requests over outbound connections and waits for their outcome. */
final class OutboundCalls implements AutoCloseable {
    static final long MAX_RESPONSE_BYTES = 100_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final long WAIT_SECONDS = 10;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    /** What the sender of a request gets: {@code status} is 0 if the response could not be used. */
    record Result(int status, String body, boolean mayHaveRun) {}

    EventLoop loop() {
        return loop;
    }

    OutboundConnection connect(InetSocketAddress address) {
        ResponseLimits limits = new ResponseLimits(MAX_RESPONSE_BYTES, new BufferBudget(1000 * MAX_RESPONSE_BYTES));
        CompletableFuture<OutboundConnection> opened = new CompletableFuture<>();
        OutboundConnection.open(
                loop, address, CONNECT_TIMEOUT_MILLIS, limits, (connection, reason) -> opened.complete(connection));
        return opened.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
    }

    CompletableFuture<Result> send(OutboundConnection connection, HttpMethod method, String id, int bodyBytes) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, "/unsafe/1", Unpooled.wrappedBuffer(new byte[bodyBytes]));
        request.headers().set("Host", "a.example").set(RequestHeaders.REQUEST_ID, id);
        request.headers().set("Content-Length", bodyBytes);
        CompletableFuture<Result> result = new CompletableFuture<>();
        loop.execute(() -> connection.send(request, id, new OutboundListener() {
            @Override
            public void responseReceived(OutboundResponse response) {
                String body = response.body().toString(StandardCharsets.ISO_8859_1);
                response.discard();
                result.complete(new Result(response.status(), body, true));
            }

            @Override
            public void failed(OutboundFailure failure) {
                result.complete(new Result(0, failure.reason(), failure.mayHaveRun()));
            }
        }));
        return result;
    }

    Result call(OutboundConnection connection, HttpMethod method, String id, int bodyBytes) {
        return send(connection, method, id, bodyBytes)
                .orTimeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    /** Returns a value that is computed on the event loop. */
    <T> T onLoop(Supplier<T> value) {
        return CompletableFuture.supplyAsync(value, loop).join();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
