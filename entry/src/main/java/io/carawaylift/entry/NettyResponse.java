package io.carawaylift.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import okio.ByteString;

/** Writes a response to a Netty channel. Thread-safe. */
final class NettyResponse implements CallerResponse {
    private static final Logger LOG = System.getLogger(NettyResponse.class.getName());
    private static final long MAX_WAIT_MILLIS = 100;

    private final Channel channel;
    private final boolean headRequest;
    private final boolean http10;
    private final boolean keepAlive;
    private final Runnable onComplete;
    private final LongSupplier clock;
    private Runnable disconnectAction;
    private boolean started;
    private boolean complete;
    private boolean disconnected;

    /**
     * Creates a response; {@code onComplete} is called on the channel's thread when the response was written or failed.
     */
    NettyResponse(Channel channel, RequestHead request, Runnable onComplete, LongSupplier clock) {
        this.channel = channel;
        this.headRequest = request.method().equals("HEAD");
        this.http10 = request.http10();
        this.keepAlive = request.keepAlive();
        this.onComplete = onComplete;
        this.clock = clock;
    }

    /** Properties of the request that determine the form of the response. */
    record RequestHead(String method, boolean http10, boolean keepAlive) {}

    @Override
    public void send(int status, HeaderList headers, ByteString body, long declaredLength) {
        if (!tryStart()) {
            return;
        }
        boolean withoutBody = headRequest || isBodyless(status);
        ByteBuf content = withoutBody ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body.toByteArray());
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
        addHeaders(response, headers);
        if (!withoutBody) {
            HttpUtil.setContentLength(response, content.readableBytes());
        } else if (declaredLength >= 0 && status != HttpResponseStatus.NO_CONTENT.code()) {
            HttpUtil.setContentLength(response, declaredLength);
        }
        end(response);
    }

    @Override
    public BodyWriter begin(int status, HeaderList headers, long length, long deadlineNanos) {
        if (!tryStart()) {
            return new Writer(clock.getAsLong());
        }
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        addHeaders(response, headers);
        if (length >= 0) {
            HttpUtil.setContentLength(response, length);
        } else if (!http10) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        logFailure(channel.writeAndFlush(response));
        return new Writer(deadlineNanos);
    }

    @Override
    public void abort() {
        // Send a TCP reset: a caller that reads until the connection ends takes a regular close for the end of the
        // body.
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The caller closed the connection first, so it receives no response anyway.
            LOG.log(Level.DEBUG, "connection was closed before it was aborted", e);
        }
        logFailure(channel.close());
    }

    @Override
    public void onDisconnect(Runnable action) {
        synchronized (this) {
            if (complete) {
                return;
            }
            if (!disconnected) {
                disconnectAction = action;
                return;
            }
        }
        action.run();
    }

    /** Handles the end of the connection. */
    void channelClosed() {
        Runnable action;
        synchronized (this) {
            disconnected = true;
            notifyAll();
            action = complete ? null : disconnectAction;
            disconnectAction = null;
        }
        if (action != null) {
            action.run();
        }
    }

    /** Wakes up a writer that waits for the caller to read. */
    synchronized void writabilityChanged() {
        notifyAll();
    }

    private synchronized boolean tryStart() {
        if (started) {
            throw new IllegalStateException("a request was answered twice");
        }
        started = true;
        return !disconnected;
    }

    private void addHeaders(HttpResponse response, HeaderList headers) {
        for (HeaderField field : headers.fields()) {
            response.headers().add(field.name(), field.value());
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (http10) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }

    /**
     * Writes the end of the response. The listener is added before the write, so that it runs before the caller's next
     * request is read.
     */
    private void end(Object lastPart) {
        ChannelPromise written = channel.newPromise();
        logFailure(written.addListener(future -> responseWritten(future.isSuccess())));
        logFailure(channel.writeAndFlush(lastPart, written));
    }

    private void responseWritten(boolean success) {
        synchronized (this) {
            complete = success;
            disconnectAction = success ? null : disconnectAction;
        }
        onComplete.run();
        if (!keepAlive || !success) {
            logFailure(channel.close());
        }
    }

    private static boolean isBodyless(int status) {
        return status == HttpResponseStatus.NO_CONTENT.code() || status == HttpResponseStatus.NOT_MODIFIED.code();
    }

    /** Logs an operation that has already failed. The listener of the last write handles failed responses. */
    private static void logFailure(io.netty.util.concurrent.Future<?> future) {
        if (future.isDone() && future.cause() != null) {
            LOG.log(Level.DEBUG, "operation on a closed connection", future.cause());
        }
    }

    private final class Writer implements BodyWriter {
        private final long deadlineNanos;

        Writer(long deadlineNanos) {
            this.deadlineNanos = deadlineNanos;
        }

        @Override
        public void write(ByteString bytes) throws IOException {
            awaitWritable();
            logFailure(channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes.toByteArray()))));
        }

        @Override
        public void finish() {
            end(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        @Override
        public void abort() {
            NettyResponse.this.abort();
        }

        private void awaitWritable() throws IOException {
            synchronized (NettyResponse.this) {
                while (!disconnected && !channel.isWritable() && clock.getAsLong() < deadlineNanos) {
                    waitBriefly();
                }
                if (disconnected) {
                    throw new IOException("the caller left");
                }
            }
            if (clock.getAsLong() >= deadlineNanos) {
                throw new IOException("the deadline passed before the whole answer was written");
            }
        }

        private void waitBriefly() throws IOException {
            try {
                TimeUnit.MILLISECONDS.timedWait(NettyResponse.this, MAX_WAIT_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted while waiting for the caller", e);
            }
        }
    }
}
