package io.carawaylift.host;

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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.regex.Pattern;
import jdk.net.ExtendedSocketOptions;

/**
 * An HTTP connection to an endpoint or to the store with at most one request in flight. A response is delivered only
 * when it is complete. Used on its event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which is observed
final class OutboundConnection extends ChannelInboundHandlerAdapter {
    /**
     * Bytes that may arrive before the head of the response is complete: informational responses and what the decoder
     * skips.
     */
    private static final long MAX_BYTES_BEFORE_HEAD = 64 * 1024;

    /** Informational responses and responses to earlier requests that may precede the response. */
    private static final int MAX_SKIPPED_RESPONSES = 8;

    /** Idle time after which the kernel sends keep-alive probes, so that a silently lost connection is detected. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;

    /** Idle timeout assumed if the peer does not send one. */
    private static final int DEFAULT_IDLE_TIMEOUT_SECONDS = 5;

    /** Fraction of the peer's idle timeout after which a connection is not reused. */
    private static final double USABLE_IDLE_FRACTION = 0.6;

    private static final Pattern STATUS_LINE_START = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}");

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_SUCCESS_STATUS = 299;

    private final ResponseDecoder decoder = new ResponseDecoder();
    private final ResponseLimits limits;
    private Channel channel;
    private OutboundListener listener;
    private String expectedRequestId;
    private HttpResponse head;
    private BodyBuffer body;
    private boolean skippingResponse;
    private int skippedResponses;
    private long receivedBytes;
    private boolean reset;
    private boolean written;
    private boolean keepAlive = true;
    private long idleUntilNanos;
    private Runnable onClose = () -> {};
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
        receivedBytes = 0;
        skippedResponses = 0;
        decoder.headRequest = request.method().equals(HttpMethod.HEAD);
        if (!channel.isActive()) {
            ReferenceCountUtil.release(request);
            fail(false, "the connection was closed before the request was sent");
            return;
        }
        channel.writeAndFlush(request).addListener(done -> written = done.isSuccess());
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
            read((HttpObject) message);
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
            failAndClose("malformed response: " + message.decoderResult().cause());
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
        if (requests > 1 && isMerged(response)) {
            failAndClose("the head of the response contains the start of another one");
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
            failAndClose("the response does not say to which request it belongs");
            return;
        }
        head = response;
        body = new BodyBuffer(channel.alloc(), limits.budget(), HttpUtil.getContentLength(response, -1L));
    }

    /**
     * Returns whether a head contains the start of another one: part of a response to an earlier request, for example,
     * that the endpoint continued with the next response.
     */
    private static boolean isMerged(HttpResponse response) {
        if (response.headers().getAll(RequestHeaders.REQUEST_ID).size() > 1
                || STATUS_LINE_START.matcher(response.status().reasonPhrase()).find()) {
            return true;
        }
        for (Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                        response.headers().iteratorCharSequence();
                headers.hasNext(); ) {
            if (STATUS_LINE_START.matcher(headers.next().getValue()).find()) {
                return true;
            }
        }
        return false;
    }

    private void add(HttpContent content) {
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
        boolean framed = HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
        if (reset && !framed) {
            failAndClose("the connection was reset before the end of the response");
            return;
        }
        int idleTimeoutSeconds = idleTimeoutSeconds(head);
        keepAlive &= HttpUtil.isKeepAlive(head) && framed;
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

    /** Parses the idle timeout in seconds from a header such as {@code Keep-Alive: timeout=5}. */
    private static int idleTimeoutSeconds(HttpResponse response) {
        String value = response.headers().get("Keep-Alive");
        int at = value == null ? -1 : value.indexOf("timeout=");
        if (at < 0) {
            return DEFAULT_IDLE_TIMEOUT_SECONDS;
        }
        int end = at + "timeout=".length();
        int seconds = 0;
        while (end < value.length() && Character.isDigit(value.charAt(end)) && seconds < Short.MAX_VALUE) {
            seconds = seconds * 10 + Character.digit(value.charAt(end), 10);
            end++;
        }
        return seconds;
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
            receivedBytes += ((ByteBuf) message).readableBytes();
            if (listener == null) {
                // Bytes without a request in flight: what follows on this connection cannot be trusted either.
                ReferenceCountUtil.release(message);
                context.close();
                return;
            }
            if (receivedBytes > limits.maxBytes()
                    || (head == null && !skippingResponse && receivedBytes > MAX_BYTES_BEFORE_HEAD)) {
                ReferenceCountUtil.release(message);
                failAndClose("no complete response within " + receivedBytes + " bytes");
                return;
            }
            context.fireChannelRead(message);
        }
    }

    /** Decodes responses; a response to HEAD has no body whatever its headers say. */
    private static final class ResponseDecoder extends HttpResponseDecoder {
        private boolean headRequest;

        @Override
        protected boolean isContentAlwaysEmpty(io.netty.handler.codec.http.HttpMessage message) {
            return headRequest || super.isContentAlwaysEmpty(message);
        }
    }
}
