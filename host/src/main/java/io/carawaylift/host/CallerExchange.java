package io.carawaylift.host;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Set;

/**
 * A request on a connection of a caller, from its arrival until its response is written in its turn. Used on the event
 * loop only.
 */
final class CallerExchange {
    private static final Set<Integer> BODYLESS_STATUSES = Set.of(204, 304);

    private final CallerConnection connection;
    private final HttpRequest head;
    private final boolean headRequest;
    private final boolean last;
    private final boolean concurrent;
    private final long arrivedNanos;
    private final long requestBytes;
    private BodyBuffer body;
    private CallerRequest request;
    private Response response;
    private boolean started;

    /**
     * A response that waits for its turn.
     *
     * @param isHeadRequest whether the request method was HEAD, so that no body may be written
     * @param contentReleased run once {@code content} is no longer held
     */
    record Response(int status, HttpHeaders headers, ByteBuf content, boolean isHeadRequest, Runnable contentReleased) {
        /** Returns the message to write; {@code close} tells whether the connection ends with it. */
        FullHttpResponse toMessage(boolean close) {
            int contentBytes = content.readableBytes();
            if (isHeadRequest) {
                // The length that a GET would have; an endpoint's own header has it already.
                if (contentBytes > 0) {
                    headers.set(HttpHeaderNames.CONTENT_LENGTH, contentBytes);
                    content.clear();
                }
            } else if (!BODYLESS_STATUSES.contains(status)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, contentBytes);
            }
            if (close) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            return new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    content,
                    headers,
                    LocalResponses.headers());
        }

        /** Drops the content. */
        void discard() {
            content.release();
            contentReleased.run();
        }
    }

    /**
     * Creates an exchange of a request that was read whole.
     *
     * @param last whether the connection ends with the response
     * @param concurrent whether the request may run beside others of the connection
     */
    CallerExchange(
            CallerConnection connection,
            HttpRequest head,
            BodyBuffer body,
            long arrivedNanos,
            boolean last,
            boolean concurrent) {
        this.connection = connection;
        this.head = head;
        this.headRequest = head.method().equals(HttpMethod.HEAD);
        this.body = body;
        this.arrivedNanos = arrivedNanos;
        this.last = last;
        this.concurrent = concurrent;
        this.requestBytes = bytesOf(head) + body.bytes().readableBytes();
    }

    private CallerExchange(CallerConnection connection, boolean headRequest) {
        this.connection = connection;
        this.head = null;
        this.headRequest = headRequest;
        this.arrivedNanos = 0;
        this.last = true;
        this.concurrent = false;
        this.requestBytes = 0;
    }

    /**
     * Returns an exchange of a request that was not read whole. It is only responded to, and the connection ends with
     * the response.
     *
     * @param headRequest whether the request method is HEAD
     */
    static CallerExchange ofRefused(CallerConnection connection, boolean headRequest) {
        return new CallerExchange(connection, headRequest);
    }

    private static long bytesOf(HttpRequest head) {
        long bytes = head.uri().length();
        for (var header : head.headers()) {
            bytes += header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }

    /** Passes the request to a handler, which may respond at once. */
    void start(CallerHandler handler) {
        started = true;
        BodyBuffer completeBody = body;
        body = null;
        CallerRequest processing = handler.handle(this, head, completeBody, arrivedNanos);
        if (response == null) {
            request = processing;
        }
    }

    /**
     * Responds to the request. The response is written when those to all earlier requests are.
     *
     * @param headers headers of the response; Content-Length is set to the length of the content, except that a value
     *     stays as it is if the request method was HEAD and the content is empty
     * @param content not written if the request method was HEAD
     * @param contentReleased run once {@code content} is no longer held
     */
    void respond(int status, HttpHeaders headers, ByteBuf content, Runnable contentReleased) {
        started = true;
        request = null;
        response = new Response(status, headers, content, headRequest, contentReleased);
        connection.responded(this);
    }

    /** Answers the request if it is being processed, because the host ends. */
    void hostEnds() {
        if (request != null) {
            request.hostEnds();
        }
    }

    /** Ends the exchange without a response: cancels the request and drops what is held. */
    void cancel() {
        if (body != null) {
            body.release();
            body = null;
        }
        if (response != null) {
            response.discard();
        }
        CallerRequest cancelled = request;
        request = null;
        if (cancelled != null) {
            cancelled.callerDisconnected();
        }
    }

    /** Returns the response; null until the request is processed. */
    Response response() {
        return response;
    }

    /** Returns whether the connection ends with the response. */
    boolean isLast() {
        return last;
    }

    boolean isStarted() {
        return started;
    }

    /** Returns whether the request may run beside others of the connection. */
    boolean isConcurrent() {
        return concurrent;
    }

    /** Returns the bytes held for the exchange: of the request until it is processed, then of the response. */
    long heldBytes() {
        return response == null ? requestBytes : response.content().readableBytes();
    }
}
