package io.carawaylift.host;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A request on a connection of a caller, from its arrival until its response is written in its turn. Used on the event
 * loop only.
 */
final class CallerExchange {
    private final CallerConnection connection;
    private final HttpRequest head;
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
     * @param isHeadRequest whether {@code content} is empty because the request method was HEAD
     * @param contentReleased run once {@code content} is no longer held
     */
    record Response(int status, HttpHeaders headers, ByteBuf content, boolean isHeadRequest, Runnable contentReleased) {
        /** Drops the content. */
        void discard() {
            content.release();
            contentReleased.run();
        }
    }

    /**
     * Creates an exchange.
     *
     * @param head null if the request was not read
     * @param body null if the request was not read whole
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
        this.body = body;
        this.arrivedNanos = arrivedNanos;
        this.last = last;
        this.concurrent = concurrent;
        this.requestBytes = (head == null ? 0 : bytesOf(head))
                + (body == null ? 0 : body.bytes().readableBytes());
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
     * @param headers headers of the response; the connection sets Content-Length, unless {@code isHeadRequest} is true
     * @param isHeadRequest whether {@code content} is empty because the request method was HEAD; a Content-Length in
     *     {@code headers} then stays as it is, since it is the length that a GET would have
     * @param contentReleased run once {@code content} is no longer held
     */
    void respond(int status, HttpHeaders headers, ByteBuf content, boolean isHeadRequest, Runnable contentReleased) {
        started = true;
        request = null;
        response = new Response(status, headers, content, isHeadRequest, contentReleased);
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
