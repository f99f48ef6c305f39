package io.carawaylift.host;

import io.carawaylift.host.http.InvalidMessage;
import io.carawaylift.host.http.ResponseDecoder;
import io.carawaylift.host.http.ResponseHead;
import io.carawaylift.host.http.SyntaxHandler;
import io.carawaylift.platform.store.RequestHeaders;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;

/**
 * An HTTP connection to an endpoint or to the store with at most one request in flight. A response is delivered only
 * when it is complete. Used on its event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which is observed
final class OutboundConnection extends ChannelInboundHandlerAdapter {
    /** Informational responses and responses to earlier requests that may precede the response. */
    private static final int MAX_SKIPPED_RESPONSES = 8;

    /** Idle time after which the kernel sends keep-alive probes, so that a silently lost connection is detected. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;

    /** Fraction of the peer's idle timeout after which a connection is not reused. */
    private static final double USABLE_IDLE_FRACTION = 0.6;

    /** Longest time in which a peer may read the rest of a request after its response. */
    private static final int MAX_LATE_WRITE_SECONDS = 5;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_SUCCESS_STATUS = 299;

    private final ResponseDecoder decoder = new ResponseDecoder();
    private final ResponseLimits limits;
    private final ResponseBytes bytes;
    private Channel channel;
    private OutboundListener listener;
    private String expectedRequestId;
    private HttpResponse head;
    private BodyBuffer body;
    private boolean skippingResponse;
    private int skippedResponses;
    private boolean reset;
    private boolean written;
    private int requestBytes;
    private Runnable onWritten;
    private boolean keepAlive = true;
    private long idleUntilNanos;
    private Runnable onClose = () -> {};
    private Consumer<InvalidMessage> onInvalid = message -> {};
    private int requests;

    /**
     * Limits of the responses on a connection.
     *
     * @param maxBytes bytes of a response, with everything that arrives before it
     * @param budget bytes of all responses that are buffered at once
     */
    record ResponseLimits(long maxBytes, BufferBudget budget) {}

    private OutboundConnection(ResponseLimits limits) {
        this.limits = limits;
        this.bytes = new ResponseBytes(limits.maxBytes());
    }

    /** Opens a connection and passes it to {@code result}, or null and the reason for the failure. */
    static void open(
            EventLoop loop,
            InetSocketAddress address,
            int timeoutMillis,
            ResponseLimits limits,
            BiConsumer<OutboundConnection, String> result) {
        OutboundConnection connection = new OutboundConnection(limits);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        opened.pipeline()
                                .addLast(
                                        connection.new ReceivedBytes(),
                                        SyntaxHandler.forResponses(connection.decoder::isHeadRequest),
                                        new HttpRequestEncoder(),
                                        connection.decoder,
                                        connection);
                    }
                });
        bootstrap.connect(address).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                connection.channel = connected.channel();
                result.accept(connection, null);
            } else {
                result.accept(null, String.valueOf(connected.cause().getMessage()));
            }
        });
    }

    /** Sets the action that runs when the connection closes. */
    void onClose(Runnable action) {
        onClose = action;
    }

    /** Sets the action that runs when a response is invalid, before its request fails. */
    void onInvalid(Consumer<InvalidMessage> action) {
        onInvalid = action;
    }

    /** Returns the address of the peer. */
    SocketAddress peer() {
        return channel.remoteAddress();
    }

    /**
     * Sends a request.
     *
     * @param expectedId request id that the response must echo, empty if it need not echo one
     */
    void send(FullHttpRequest request, String expectedId, OutboundListener receiver) {
        listener = receiver;
        expectedRequestId = expectedId;
        written = false;
        requests++;
        bytes.reset();
        skippedResponses = 0;
        requestBytes = request.content().readableBytes();
        decoder.requestSent(request.method());
        if (!channel.isActive()) {
            ReferenceCountUtil.release(request);
            fail(false, "the connection was closed before the request was sent");
            return;
        }
        channel.writeAndFlush(request).addListener(done -> {
            written = done.isSuccess();
            if (onWritten != null) {
                onWritten.run();
            }
        });
    }

    /**
     * Runs an action after the response, once the peer has been sent the rest of the request or the connection has
     * failed. Closes the connection if that takes too long or needs more memory than the limits allow.
     */
    void afterRequestWritten(Runnable action) {
        if (written || !channel.isActive()) {
            action.run();
            return;
        }
        long heldBytes = requestBytes;
        if (!limits.budget().tryReserve(heldBytes)) {
            channel.close();
            action.run();
            return;
        }
        Future<?> timeout =
                channel.eventLoop().schedule((Runnable) channel::close, MAX_LATE_WRITE_SECONDS, TimeUnit.SECONDS);
        onWritten = () -> {
            onWritten = null;
            timeout.cancel(false);
            limits.budget().release(heldBytes);
            action.run();
        };
    }

    /** Returns whether the request with this id is in flight. */
    boolean isServing(String requestId) {
        return listener != null && expectedRequestId.equals(requestId);
    }

    /** Returns whether a request was sent on this connection. */
    boolean isUsed() {
        return requests > 0;
    }

    /** Returns whether the connection can take another request. */
    boolean isReusable(long nowNanos) {
        return channel.isActive() && keepAlive && written && listener == null && idleUntilNanos - nowNanos > 0;
    }

    /** Ends the request in flight, if any, as failed and closes the connection. */
    void abort(String reason) {
        failAndClose(reason);
    }

    /** Closes the connection. A request in flight is cancelled without a call to its listener. */
    void close() {
        listener = null;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof InvalidMessage invalid) {
                failInvalid(invalid);
            } else {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (listener == null) {
            // Bytes without a request in flight: what follows on this connection cannot be trusted either.
            channel.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            failInvalid(
                    new InvalidMessage(String.valueOf(message.decoderResult().cause()), "a valid response"));
            return;
        }
        if (message instanceof HttpResponse response) {
            begin(response);
        }
        if (message instanceof HttpContent content && listener != null) {
            add(content);
        }
    }

    private void begin(HttpResponse response) {
        int status = response.status().code();
        if (requests > 1 && ResponseHead.isMerged(response, RequestHeaders.REQUEST_ID)) {
            failInvalid(new InvalidMessage("a head that contains the start of another one", "one head"));
            return;
        }
        String echoed = response.headers().get(RequestHeaders.REQUEST_ID);
        boolean forOtherRequest = echoed != null && !expectedRequestId.isEmpty() && !echoed.equals(expectedRequestId);
        skippingResponse = status < MIN_FINAL_STATUS || forOtherRequest;
        if (forOtherRequest) {
            // A late duplicate response to an earlier request. The connection is not reused after the expected
            // response.
            keepAlive = false;
        }
        if (skippingResponse) {
            skippedResponses++;
            if (skippedResponses > MAX_SKIPPED_RESPONSES) {
                failAndClose("more than " + MAX_SKIPPED_RESPONSES + " responses before the expected one");
            }
            return;
        }
        boolean success = status <= MAX_SUCCESS_STATUS;
        // On a connection in use again, a response without an id may belong to an earlier request.
        if ((success || requests > 1) && !expectedRequestId.isEmpty() && echoed == null) {
            failInvalid(new InvalidMessage("status " + status + " without a request id", "the id of the request"));
            return;
        }
        if (success && !expectedRequestId.isEmpty() && response.headers().contains(RequestHeaders.NOT_RUN)) {
            failInvalid(new InvalidMessage("status " + status + " and not executed", "one of them"));
            return;
        }
        head = response;
        body = new BodyBuffer(channel.alloc(), limits.budget(), HttpUtil.getContentLength(response, -1L));
    }

    private void add(HttpContent content) {
        bytes.decoded(content.content().readableBytes());
        if (skippingResponse) {
            skippingResponse = !(content instanceof LastHttpContent);
            return;
        }
        if (head == null) {
            failAndClose("response body without a response head");
            return;
        }
        if (!body.append(content.content())) {
            failAndClose("more bytes of responses are buffered than the limits allow");
            return;
        }
        if (content instanceof LastHttpContent) {
            complete();
        }
    }

    private void complete() {
        boolean delimited = decoder.isDelimited(head);
        if (!delimited && (reset || !written)) {
            // A write that fails closes the channel without an exception, as an orderly close of the peer does.
            failAndClose("the connection was closed before the end of the response, "
                    + (reset ? "by a reset" : "with a part of the request unwritten"));
            return;
        }
        int idleTimeoutSeconds = ResponseHead.idleTimeoutSeconds(head);
        keepAlive &= HttpUtil.isKeepAlive(head) && delimited && !decoder.isBodyAnnounced();
        idleUntilNanos = System.nanoTime() + (long) (idleTimeoutSeconds * USABLE_IDLE_FRACTION * NANOS_PER_SECOND);
        OutboundListener receiver = listener;
        BodyBuffer completeBody = body;
        HttpResponse response = head;
        listener = null;
        head = null;
        body = null;
        receiver.responseReceived(new OutboundResponse(
                response.status().code(), response.headers(), completeBody.bytes(), completeBody::releaseBudget));
    }

    private void failInvalid(InvalidMessage invalid) {
        onInvalid.accept(invalid);
        failAndClose("invalid response: " + invalid);
    }

    private void failAndClose(String reason) {
        fail(true, reason);
        channel.close();
    }

    private void fail(boolean mayHaveRun, String reason) {
        OutboundListener receiver = listener;
        listener = null;
        releaseBody();
        if (receiver != null) {
            receiver.failed(new OutboundFailure(mayHaveRun, reason));
        }
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
            head = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(true, reset ? "the connection was reset" : "the connection was closed before the response was complete");
        releaseBody();
        onClose.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reset = true;
        context.close();
    }

    /**
     * Counts the bytes before they are decoded, since the decoder skips some without a message: what never becomes a
     * response must not go on for ever.
     */
    private final class ReceivedBytes extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            int count = ((ByteBuf) message).readableBytes();
            boolean allowed = bytes.receive(count, head == null && !skippingResponse);
            if (listener == null) {
                // Bytes without a request in flight: what follows on this connection cannot be trusted either.
                ReferenceCountUtil.release(message);
                context.close();
                return;
            }
            if (!allowed) {
                ReferenceCountUtil.release(message);
                failAndClose("no complete response within " + bytes.received() + " bytes");
                return;
            }
            context.fireChannelRead(message);
        }
    }
}
