package io.carawaylift.host;

import io.carawaylift.host.http.InvalidMessage;
import io.carawaylift.host.http.SyntaxHandler;
import io.carawaylift.model.ResultCode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A connection of a caller: reads complete requests, passes them to the handler and writes the responses in the order
 * of the requests. Idempotent requests may run beside each other, any other runs alone. Used on the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which is observed
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /**
     * Time for the caller to read the last response before the connection is closed. A close with unread bytes resets
     * the connection, by which the caller may lose the response.
     */
    private static final int LINGER_MILLIS = 1000;

    private static final int REQUEST_TIMEOUT_STATUS = 408;
    private static final int HEADERS_TOO_LARGE_STATUS = 431;

    private final CallerServer server;
    private final CallerHandler handler;
    private final SyntaxHandler syntax = SyntaxHandler.forRequests(this::mayReadRequest);

    /** Exchanges whose responses are not written yet, in the order of the requests. */
    private final Deque<CallerExchange> exchanges = new ArrayDeque<>();

    private final SlowReaderCheck slowReaderCheck = new SlowReaderCheck();
    private Channel channel;
    private HttpRequest head;
    private BodyBuffer body;
    private boolean continueExpected;
    private long headReceivedNanos;
    private long lastActiveNanos;
    private long lastReadNanos;

    /** Responses, and their bytes, that are not yet written completely, because the caller reads slowly. */
    private int writing;

    private long writingBytes;

    /** Whether no further request is read, because the connection ends with a response. */
    private boolean readingEnded;

    private boolean paused;
    private int reportedRequests;
    private long reportedBytes;
    private boolean advancing;
    private boolean advanceAgain;

    CallerConnection(CallerServer server, CallerHandler handler) {
        this.server = server;
        this.handler = handler;
    }

    /** Returns the handler that must stand before the decoder. */
    SyntaxHandler syntax() {
        return syntax;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastActiveNanos = System.nanoTime();
        channel.pipeline().addFirst(new ActivityTracker());
        server.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (!readingEnded) {
                read(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (message instanceof InvalidMessage invalid) {
            server.requestInvalid(channel.remoteAddress(), invalid);
            refuse(ResultCode.BAD_REQUEST, ResultCode.BAD_REQUEST.httpStatus());
            return;
        }
        HttpObject object = (HttpObject) message;
        if (object.decoderResult().isFailure()) {
            boolean tooLong = object.decoderResult().cause() instanceof TooLongFrameException;
            refuse(ResultCode.BAD_REQUEST, tooLong ? HEADERS_TOO_LARGE_STATUS : ResultCode.BAD_REQUEST.httpStatus());
            return;
        }
        if (object instanceof HttpRequest request) {
            begin(request);
        }
        if (object instanceof HttpContent content && head != null) {
            add(content);
        }
    }

    private void begin(HttpRequest request) {
        head = request;
        headReceivedNanos = lastReadNanos;
        body = new BodyBuffer(channel.alloc(), server.requestBudget(), HttpUtil.getContentLength(request, -1L));
        continueExpected = HttpUtil.is100ContinueExpected(request);
        sendContinueIfDue();
    }

    /** Sends an expected 100, but not before a response to an earlier request, to which it would belong. */
    private void sendContinueIfDue() {
        if (continueExpected && exchanges.isEmpty()) {
            continueExpected = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void add(HttpContent content) {
        if (body.bytes().readableBytes() + (long) content.content().readableBytes()
                > server.callerLimits().maxBodyBytes()) {
            refuse(ResultCode.BODY_TOO_LARGE, ResultCode.BODY_TOO_LARGE.httpStatus());
            return;
        }
        if (!body.append(content.content())) {
            refuse(ResultCode.QUEUE_FULL, ResultCode.QUEUE_FULL.httpStatus());
            return;
        }
        if (content instanceof LastHttpContent) {
            boolean last = !HttpUtil.isKeepAlive(head);
            boolean concurrent = handler.isConcurrent(head);
            exchanges.addLast(new CallerExchange(this, head, body, headReceivedNanos, last, concurrent));
            head = null;
            body = null;
            continueExpected = false;
            readingEnded = last;
            advance();
        }
    }

    /** Responds to a request that was not read whole, and closes the connection. */
    private void refuse(ResultCode code, int status) {
        handler.refused(head, code, status);
        releaseBody();
        head = null;
        readingEnded = true;
        CallerExchange exchange = CallerExchange.ofRefused(this, syntax.isHeadRequest());
        exchanges.addLast(exchange);
        ByteBuf content = Unpooled.copiedBuffer(LocalResponses.body(code, ""), StandardCharsets.UTF_8);
        exchange.respond(status, LocalResponses.headers(), content, () -> {});
    }

    /** Called when an exchange has its response. */
    void responded(CallerExchange exchange) {
        if (exchanges.contains(exchange)) {
            advance();
        } else {
            // The connection was closed.
            exchange.response().discard();
        }
    }

    /** Writes the responses and starts the requests whose turn it is. */
    private void advance() {
        advanceAgain = true;
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            while (advanceAgain) {
                advanceAgain = false;
                while (!exchanges.isEmpty() && exchanges.peekFirst().response() != null) {
                    write(exchanges.pollFirst());
                }
                startNext();
            }
        } finally {
            advancing = false;
        }
        sendContinueIfDue();
        reportHeld();
        updateReading();
    }

    private void reportHeld() {
        long bytes = heldBytes();
        server.heldChanged(exchanges.size() - reportedRequests, bytes - reportedBytes);
        reportedRequests = exchanges.size();
        reportedBytes = bytes;
    }

    private void startNext() {
        int running = 0;
        boolean alone = false;
        for (CallerExchange exchange : exchanges) {
            if (!exchange.isStarted()) {
                boolean first = exchange == exchanges.peekFirst();
                if (first
                        ? writingBytes < server.limits().maxConnectionBytes()
                        : !alone && mayRunBeside(exchange, running)) {
                    exchange.start(handler);
                    // The response may have come at once and changed the queue.
                    advanceAgain = true;
                }
                return;
            }
            if (exchange.response() == null) {
                running++;
                alone |= !exchange.isConcurrent();
            }
        }
    }

    /** A stopping host starts nothing behind a request, so that the response to that closes the connection. */
    private boolean mayRunBeside(CallerExchange exchange, int running) {
        return !server.isStopping()
                && exchange.isConcurrent()
                && running < server.limits().maxConcurrentRequests()
                && heldBytes() < server.limits().maxConnectionBytes();
    }

    private void write(CallerExchange exchange) {
        CallerExchange.Response response = exchange.response();
        CallerExchange next = exchanges.peekFirst();
        boolean close = exchange.isLast() || (server.isStopping() && (next == null || !next.isStarted()));
        if (close) {
            endReading();
        }
        FullHttpResponse message = response.toMessage(close);
        int contentBytes = message.content().readableBytes();
        writing++;
        writingBytes += contentBytes;
        channel.writeAndFlush(message).addListener(done -> {
            writing--;
            writingBytes -= contentBytes;
            response.contentReleased().run();
            reportHeld();
            lastActiveNanos = System.nanoTime();
            if (!done.isSuccess()) {
                channel.close();
            } else if (close) {
                linger();
            } else {
                advance();
            }
        });
    }

    /** Drops the requests behind a response that closes the connection: they count as not read. */
    private void endReading() {
        readingEnded = true;
        releaseBody();
        head = null;
        continueExpected = false;
        exchanges.forEach(CallerExchange::cancel);
        exchanges.clear();
        reportHeld();
    }

    /** Ends the connection in a way that lets the caller read the last response. */
    private void linger() {
        ((DuplexChannel) channel).shutdownOutput();
        channel.eventLoop().schedule((Runnable) channel::close, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean mayReadRequest() {
        if (readingEnded || exchanges.isEmpty()) {
            return true;
        }
        return exchanges.size() < server.limits().maxRequests()
                && heldBytes() < server.limits().maxConnectionBytes()
                && server.mayReadAhead();
    }

    /** Stops reading while the limits hold bytes back. Reads otherwise, also to notice that the caller has left. */
    private void updateReading() {
        syntax.resume();
        boolean pause = syntax.heldBytes() > 0 && !mayReadRequest();
        if (pause != paused) {
            paused = pause;
            channel.config().setAutoRead(!pause);
            lastActiveNanos = System.nanoTime();
        }
    }

    /** Returns the bytes of requests and responses that are held for the connection. */
    long heldBytes() {
        long bytes = writingBytes + syntax.heldBytes();
        for (CallerExchange exchange : exchanges) {
            bytes += exchange.heldBytes();
        }
        return bytes;
    }

    /** Returns whether a request is being read or processed, or its response is being written. */
    boolean isBusy() {
        return !exchanges.isEmpty() || head != null || writing > 0 || (readingEnded && channel.isActive());
    }

    /** Answers all requests in progress, and one that is not read whole, because the host ends. */
    void answerAll() {
        List.copyOf(exchanges).forEach(CallerExchange::hostEnds);
        if (head != null) {
            refuse(ResultCode.STOPPING, ResultCode.STOPPING.httpStatus());
        }
    }

    void closeIfIdle() {
        if (!isBusy()) {
            channel.close();
        }
    }

    /** Closes the connection if it was idle for too long, and refuses a request that does not arrive in time. */
    void sweep(long nowNanos) {
        long sinceActive = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastActiveNanos);
        long idleTimeout = server.callerLimits().idleTimeoutMillis();
        if (slowReaderCheck.isStuck(channel, nowNanos, idleTimeout)) {
            server.readerStuck(channel.remoteAddress(), heldBytes());
            channel.close();
        }
        if (!exchanges.isEmpty() || writing > 0 || readingEnded) {
            return;
        }
        if (head != null || !syntax.isBetweenMessages()) {
            long limit = head != null ? idleTimeout : server.callerLimits().headerTimeoutMillis();
            if (sinceActive > limit) {
                refuse(ResultCode.BAD_REQUEST, REQUEST_TIMEOUT_STATUS);
            }
        } else if (sinceActive > idleTimeout) {
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        endReading();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        server.connectionFailed(cause);
        context.close();
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    /** Records when bytes arrive, before they are decoded, and drops those behind the last request. */
    private final class ActivityTracker extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (readingEnded) {
                ReferenceCountUtil.release(message);
                return;
            }
            lastReadNanos = System.nanoTime();
            if (head != null || syntax.isBetweenMessages()) {
                lastActiveNanos = lastReadNanos;
            }
            context.fireChannelRead(message);
            reportHeld();
            updateReading();
        }
    }
}
