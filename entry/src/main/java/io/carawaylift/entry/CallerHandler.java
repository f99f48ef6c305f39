package io.carawaylift.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayList;
import java.util.List;
import okio.Buffer;
import okio.ByteString;

/**
 * Handles one connection of a caller: collects a request with its body, dispatches it, and reads the next one when the
 * response is complete. A request that arrives before the previous response is complete is discarded, and the
 * connection is closed after that response.
 */
final class CallerHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final ServerState state;

    private HttpRequest requestHead;
    private Buffer body = new Buffer();
    private NettyResponse response;
    private long reservedBytes;
    private boolean discarding;

    CallerHandler(ServerState state) {
        super(HttpObject.class);
        this.state = state;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        state.connected(context.channel());
        context.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            reject(context, message, ServerState.RejectReason.MALFORMED);
            return;
        }
        if (message instanceof HttpRequest request) {
            begin(request);
        }
        if (message instanceof HttpContent content && requestHead != null && !discarding) {
            appendBody(context, content);
        }
    }

    private void begin(HttpRequest request) {
        if (response != null) {
            discarding = true;
            return;
        }
        requestHead = request;
    }

    private void appendBody(ChannelHandlerContext context, HttpContent content) {
        ByteBuf bytes = content.content();
        int length = bytes.readableBytes();
        if (body.size() + length > ServerState.MAX_BODY_BYTES) {
            reject(context, requestHead, ServerState.RejectReason.BODY_TOO_LARGE);
            return;
        }
        if (!state.reserveBodyBytes(length)) {
            reject(context, requestHead, ServerState.RejectReason.NO_MEMORY);
            return;
        }
        reservedBytes += length;
        byte[] copy = new byte[length];
        bytes.readBytes(copy);
        body.write(copy);
        if (content instanceof LastHttpContent) {
            dispatch(context);
        }
    }

    private void dispatch(ChannelHandlerContext context) {
        RawRequest request = new RawRequest(
                requestHead.method().name(), requestHead.uri(), headers(requestHead), body.readByteString());
        boolean keepAlive = HttpUtil.isKeepAlive(requestHead) && !state.isClosing();
        HttpRequest dispatched = requestHead;
        requestHead = null;
        body = new Buffer();
        startResponse(context, dispatched, keepAlive);
        state.handle(request, response);
    }

    /**
     * Answers a request that is not dispatched, and closes the connection, because the rest of the request is not read.
     */
    private void reject(ChannelHandlerContext context, HttpObject message, ServerState.RejectReason reason) {
        discarding = true;
        if (response != null) {
            return;
        }
        body = new Buffer();
        RawRequest request = new RawRequest("", "", HeaderList.EMPTY, ByteString.EMPTY);
        HttpRequest rejected = message instanceof HttpRequest found ? found : null;
        if (rejected != null && rejected.decoderResult().isSuccess()) {
            request = new RawRequest(rejected.method().name(), rejected.uri(), headers(rejected), ByteString.EMPTY);
        }
        startResponse(context, rejected, false);
        state.reject(request, response, reason);
    }

    private void startResponse(ChannelHandlerContext context, HttpRequest request, boolean keepAlive) {
        String method = request == null ? "" : request.method().name();
        boolean http10 = request != null && HttpVersion.HTTP_1_0.equals(request.protocolVersion());
        state.requestStarted();
        response = new NettyResponse(
                context.channel(),
                new NettyResponse.RequestHead(method, http10, keepAlive),
                () -> responseCompleted(context),
                state.clock());
    }

    private void responseCompleted(ChannelHandlerContext context) {
        if (response == null) {
            return;
        }
        response = null;
        releaseMemory();
        state.requestEnded();
        if (discarding) {
            close(context);
        }
    }

    private void releaseMemory() {
        state.releaseBodyBytes(reservedBytes);
        reservedBytes = 0;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        state.disconnected(context.channel());
        releaseMemory();
        NettyResponse unfinished = response;
        if (unfinished != null) {
            unfinished.channelClosed();
            if (response != null) {
                response = null;
                state.requestEnded();
            }
        }
        context.fireChannelInactive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (response != null) {
            response.writabilityChanged();
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && response == null) {
            close(context);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        System.getLogger(CallerHandler.class.getName())
                .log(System.Logger.Level.DEBUG, "connection of a caller failed", cause);
        close(context);
    }

    private static void close(ChannelHandlerContext context) {
        var unused = context.close();
    }

    private static HeaderList headers(HttpRequest request) {
        List<HeaderField> fields = new ArrayList<>();
        request.headers().forEach(entry -> fields.add(new HeaderField(entry.getKey(), entry.getValue())));
        return new HeaderList(fields);
    }
}
