package io.carawaylift.host;

import io.carawaylift.host.OutboundConnection.ResponseLimits;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.platform.store.StoreEra;
import io.carawaylift.platform.store.StoreTransport;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

/** Sends calls to the store over pooled connections. Used on the event loop only. */
final class StoreConnections implements StoreTransport {
    /** Several round trips between regions. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** A page of a list has about one megabyte at most. */
    private static final long MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    /** Responses to the calls of a few kinds at once. */
    private static final long MAX_BUFFERED_BYTES = 4 * MAX_RESPONSE_BYTES;

    private final ResponseLimits limits = new ResponseLimits(MAX_RESPONSE_BYTES, new BufferBudget(MAX_BUFFERED_BYTES));

    private final HostLoop loop;
    private final InetSocketAddress address;
    private final HostMetrics metrics;
    private final PeerFaults peerFaults;
    private final Deque<OutboundConnection> idle = new ArrayDeque<>();
    private long era;

    StoreConnections(HostLoop loop, InetSocketAddress address, HostMetrics metrics, PeerFaults peerFaults) {
        this.loop = loop;
        this.address = address;
        this.metrics = metrics;
        this.peerFaults = peerFaults;
    }

    @Override
    public CompletableFuture<Response> send(String method, String target, RecordBytes body, Duration timeout) {
        CompletableFuture<Response> result = new CompletableFuture<>();
        metrics.count("carawaylift.store.calls", "method", method);
        OutboundConnection connection = takeIdle();
        if (connection != null) {
            send(connection, request(method, target, body), timeout, result);
        } else {
            OutboundConnection.open(loop.netty(), address, CONNECT_TIMEOUT_MILLIS, limits, (opened, reason) -> {
                if (result.isDone() && opened != null) {
                    release(opened);
                } else if (opened == null) {
                    result.completeExceptionally(new IOException("no connection to the store: " + reason));
                } else {
                    opened.onInvalid(message -> peerFaults.invalid("store", opened.peer(), message));
                    send(opened, request(method, target, body), timeout, result);
                }
            });
        }
        return result;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the caller gets the future that the action depends on
    private void send(
            OutboundConnection connection,
            FullHttpRequest request,
            Duration timeout,
            CompletableFuture<Response> result) {
        result.whenComplete((response, failure) -> {
            if (result.isCancelled()) {
                connection.close();
                // Connections that were idle meanwhile may be silent for the same reason.
                closeIdle();
            }
        });
        HostLoop.Timer timer = loop.after(timeout.toMillis(), () -> {
            connection.close();
            result.completeExceptionally(
                    new IOException("no response of the store within " + timeout.toMillis() + " ms"));
        });
        connection.send(request, "", new OutboundListener() {
            @Override
            public void responseReceived(OutboundResponse response) {
                timer.cancel();
                RecordBytes bytes = RecordBytes.copyOf(ByteBufUtil.getBytes(response.body()));
                response.discard();
                release(connection);
                // A response without the header is one of the known era.
                era = StoreEra.parse(response.headers().get(StoreEra.HEADER)).orElse(era);
                result.complete(new Response(response.status(), bytes, era));
            }

            @Override
            public void failed(OutboundFailure failure) {
                timer.cancel();
                result.completeExceptionally(new IOException(failure.reason()));
            }
        });
    }

    private FullHttpRequest request(String method, String target, RecordBytes body) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, Unpooled.wrappedBuffer(body.toArray()));
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        if (body.length() > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        }
        return request;
    }

    private void release(OutboundConnection connection) {
        loop.execute(() -> connection.afterRequestWritten(() -> {
            if (connection.isReusable(System.nanoTime())) {
                idle.addLast(connection);
            } else {
                connection.close();
            }
        }));
    }

    private void closeIdle() {
        idle.forEach(OutboundConnection::close);
        idle.clear();
    }

    private OutboundConnection takeIdle() {
        while (!idle.isEmpty()) {
            OutboundConnection connection = idle.pollLast();
            if (connection.isReusable(System.nanoTime())) {
                return connection;
            }
            connection.close();
        }
        return null;
    }
}
