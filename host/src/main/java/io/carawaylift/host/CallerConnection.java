package io.carawaylift.host;

import io.carawaylift.host.http.InvalidMessage;
import io.carawaylift.model.ResultCode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
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
import java.util.concurrent.TimeUnit;

/**
 * A connection of a caller: reads a complete request, passes it to the handler, writes the response, then reads the
 * next request. Used on the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which is observed
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /**
     * Max buffered messages of pipelined requests while a request is in progress; callers normally send one request at
     * a time.
     */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    private static final int REQUEST_TIMEOUT_STATUS = 408;
    private static final int HEADERS_TOO_LARGE_STATUS = 431;
    private static final int NO_CONTENT_STATUS = 204;
    private static final int NOT_MODIFIED_STATUS = 304;

    private final CallerServer server;
    private final Handler handler;
    private final Deque<Object> pipelinedMessages = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private BodyBuffer body;
    private long headReceivedNanos;
    private long lastActiveNanos;
    private boolean readingHead;
    private CallerRequest currentRequest;
    private boolean responding;

    /** Responses that are not yet written completely, because the caller reads slowly. */
    private int writing;

    private boolean closeAfterResponse;

    /** Handles complete requests. */
    interface Handler {
        /** Starts to process a request. The handler takes ownership of {@code body} and must release it. */
        CallerRequest handle(CallerConnection caller, HttpRequest head, BodyBuffer body, long arrivedNanos);

        /** Called when a request is refused before it was read whole; {@code head} is null if it was not read. */
        void refused(HttpRequest head, ResultCode code, int status);
    }

    CallerConnection(CallerServer server, Handler handler) {
        this.server = server;
        this.handler = handler;
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
        if (responding) {
            bufferPipelined(message);
            return;
        }
        try {
            read(message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void bufferPipelined(Object object) {
        if (pipelinedMessages.size() >= MAX_PIPELINED_MESSAGES) {
            ReferenceCountUtil.release(object);
            channel.close();
            return;
        }
        pipelinedMessages.addLast(object);
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
        readingHead = false;
        head = request;
        headReceivedNanos = System.nanoTime();
        body = new BodyBuffer(channel.alloc(), server.requestBudget(), HttpUtil.getContentLength(request, -1L));
        closeAfterResponse = !HttpUtil.isKeepAlive(request);
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void add(HttpContent content) {
        if (body.bytes().readableBytes() + (long) content.content().readableBytes()
                > server.limits().maxBodyBytes()) {
            refuse(ResultCode.BODY_TOO_LARGE, ResultCode.BODY_TOO_LARGE.httpStatus());
            return;
        }
        if (!body.append(content.content())) {
            refuse(ResultCode.QUEUE_FULL, ResultCode.QUEUE_FULL.httpStatus());
            return;
        }
        if (content instanceof LastHttpContent) {
            HttpRequest request = head;
            BodyBuffer completeBody = body;
            head = null;
            body = null;
            responding = true;
            CallerRequest started = handler.handle(this, request, completeBody, headReceivedNanos);
            if (responding) {
                currentRequest = started;
            }
        }
    }

    /** Responds to a request that was not read whole, and closes the connection. */
    private void refuse(ResultCode code, int status) {
        handler.refused(head, code, status);
        releaseBody();
        head = null;
        responding = true;
        closeAfterResponse = true;
        HttpHeaders headers = LocalResponses.headers();
        ByteBuf content = Unpooled.copiedBuffer(LocalResponses.body(code, ""), StandardCharsets.UTF_8);
        respond(status, headers, content, false, () -> {});
    }

    /** Returns whether the connection is open. */
    boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Writes the response to the request in progress.
     *
     * @param headers headers of the response; this method sets Content-Length, unless {@code isHeadRequest} is true
     * @param isHeadRequest whether {@code content} is empty because the request method was HEAD; a Content-Length in
     *     {@code headers} then stays as it is, since it is the length that a GET would have
     * @param contentReleased run once {@code content} is no longer held
     */
    void respond(int status, HttpHeaders headers, ByteBuf content, boolean isHeadRequest, Runnable contentReleased) {
        currentRequest = null;
        writing++;
        boolean close = closeAfterResponse || server.isStopping();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content, headers, LocalResponses.headers());
        if (!isHeadRequest && status != NO_CONTENT_STATUS && status != NOT_MODIFIED_STATUS) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        if (close) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(response).addListener(done -> {
            writing--;
            contentReleased.run();
            lastActiveNanos = System.nanoTime();
            if (close || !done.isSuccess()) {
                channel.close();
            }
        });
        responding = false;
        if (!close) {
            readPipelined();
        }
    }

    /** Closes the connection without a response. */
    void abort() {
        currentRequest = null;
        channel.close();
    }

    private void readPipelined() {
        while (!responding && !pipelinedMessages.isEmpty()) {
            Object next = pipelinedMessages.pollFirst();
            try {
                read(next);
            } finally {
                ReferenceCountUtil.release(next);
            }
        }
    }

    /** Returns whether a request is being read or processed, or its response is being written. */
    boolean isBusy() {
        return responding || head != null || writing > 0;
    }

    void closeIfIdle() {
        if (!isBusy()) {
            channel.close();
        }
    }

    /** Closes the connection if it was idle for too long, and refuses a request that does not arrive in time. */
    void sweep(long nowNanos) {
        long sinceActive = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastActiveNanos);
        if (responding || writing > 0) {
            return;
        }
        if (head != null || readingHead) {
            long limit = head != null
                    ? server.limits().idleTimeoutMillis()
                    : server.limits().headerTimeoutMillis();
            if (sinceActive > limit) {
                refuse(ResultCode.BAD_REQUEST, REQUEST_TIMEOUT_STATUS);
            }
        } else if (sinceActive > server.limits().idleTimeoutMillis()) {
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        pipelinedMessages.forEach(ReferenceCountUtil::release);
        pipelinedMessages.clear();
        releaseBody();
        CallerRequest openRequest = currentRequest;
        currentRequest = null;
        responding = false;
        if (openRequest != null) {
            openRequest.callerDisconnected();
        }
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

    /** Records when bytes arrive, before they are decoded. */
    private final class ActivityTracker extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!isBusy() && !readingHead) {
                readingHead = true;
                lastActiveNanos = System.nanoTime();
            } else if (head != null) {
                lastActiveNanos = System.nanoTime();
            }
            context.fireChannelRead(message);
        }
    }
}
