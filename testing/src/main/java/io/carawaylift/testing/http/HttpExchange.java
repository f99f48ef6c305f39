package io.carawaylift.testing.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpChunkedInput;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One HTTP request and its response. At most one of the {@code respond} methods and {@link #abort} may be called. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close closes the connection.
public final class HttpExchange {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Channel channel;
    private final String method;
    private final String uri;
    private final QueryStringDecoder query;
    private final HttpHeaders headers;
    private final byte[] body;
    private final boolean keepAlive;

    HttpExchange(Channel channel, FullHttpRequest request) {
        this.channel = channel;
        this.method = request.method().name();
        this.uri = request.uri();
        this.query = new QueryStringDecoder(request.uri());
        this.headers = request.headers().copy();
        this.body = ByteBufUtil.getBytes(request.content());
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    /** Returns the request method in upper case. */
    public String method() {
        return method;
    }

    /** Returns path and query as sent. */
    public String uri() {
        return uri;
    }

    /** Returns the path without the query. */
    public String path() {
        return query.path();
    }

    /** Returns the request body. */
    public byte[] body() {
        return body.clone();
    }

    /** Returns a request header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the first value of a query parameter. */
    public Optional<String> parameter(String name) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.stream().findFirst();
    }

    /** Returns a query parameter as a whole number, or {@code defaultValue} if it is missing. */
    public long number(String name, long defaultValue) {
        return parameter(name).map(Long::parseLong).orElse(defaultValue);
    }

    /** Calls {@code action} when the connection closes, immediately if it is already closed. */
    public void onClose(Runnable action) {
        channel.closeFuture().addListener(closed -> action.run());
    }

    /** Runs {@code action} after a delay on the event loop of the connection, even if the connection has closed. */
    public void schedule(Runnable action, long delayMs) {
        channel.eventLoop().schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Responds with plain text. */
    public void respondText(int status, String text) {
        respond(status, Map.of("Content-Type", "text/plain"), text.getBytes(StandardCharsets.UTF_8));
    }

    /** Responds with status 200 and a value as JSON. */
    public void respondJson(Object value) {
        try {
            respond(200, Map.of("Content-Type", "application/json"), JSON.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot write " + value.getClass() + " as JSON", e);
        }
    }

    /** Responds with a body from memory. */
    public void respond(int status, Map<String, String> responseHeaders, byte[] responseBody) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(responseBody));
        setHeaders(response, responseHeaders, responseBody.length);
        closeUnlessKeepAlive(channel.writeAndFlush(response));
    }

    /**
     * Responds with generated content from {@code offset} to {@code end}, which is exclusive.
     *
     * @param abortOffset offset at which the connection is aborted, {@code Long.MAX_VALUE} for a complete response
     * @param done called when the content is written or the connection has failed
     */
    public void respondPattern(
            int status,
            Map<String, String> responseHeaders,
            PatternContent content,
            long offset,
            long end,
            long abortOffset,
            Runnable done) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        setHeaders(response, responseHeaders, end - offset);
        channel.write(response);
        ChannelFuture last = "HEAD".equals(method)
                ? channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                : channel.writeAndFlush(new HttpChunkedInput(new PatternInput(content, offset, end, abortOffset)));
        last.addListener(written -> {
            if (!written.isSuccess()) {
                abort();
            }
            done.run();
        });
        closeUnlessKeepAlive(last);
    }

    /** Resets the connection without a response, or before the end of a response that has begun. */
    public void abort() {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    private void setHeaders(HttpResponse response, Map<String, String> responseHeaders, long length) {
        responseHeaders.forEach(response.headers()::set);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        HttpUtil.setKeepAlive(response, keepAlive);
    }

    private void closeUnlessKeepAlive(ChannelFuture written) {
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }
}
