package io.carawaylift.host;

import io.carawaylift.host.http.InvalidMessage;
import io.carawaylift.host.http.SyntaxHandler;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/** Serves small pages computed from the request target: lookups, readiness and metrics. */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which is observed
final class PageServer {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int IDLE_TIMEOUT_SECONDS = 15;

    private final HostLoop loop;
    private final PeerFaults peerFaults;
    private final Function<String, Page> pages;

    /** A response with its status, content type and body. */
    record Page(int status, String contentType, String body) {
        static final Page NOT_FOUND = new Page(404, "text/plain", "");
        static final Page BAD_REQUEST = new Page(400, "text/plain", "");
    }

    /**
     * Creates a server. {@code pages} maps a request target in origin form to a page; it is called on the event loop.
     */
    PageServer(HostLoop loop, PeerFaults peerFaults, Function<String, Page> pages) {
        this.loop = loop;
        this.peerFaults = peerFaults;
        this.pages = pages;
    }

    /**
     * Binds the address and returns the actual one. Must not be called on the event loop.
     *
     * @throws CarawayliftException if the address cannot be bound
     */
    InetSocketAddress start(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop.netty())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        SyntaxHandler syntax = SyntaxHandler.forRequests(channel::isWritable);
                        channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS),
                                        syntax,
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new PageHandler(syntax));
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new CarawayliftException(ResultCode.NETWORK_FAILED, "cannot bind " + address, bound.cause());
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private final class PageHandler extends ChannelInboundHandlerAdapter {
        private final SyntaxHandler syntax;
        private boolean closing;

        PageHandler(SyntaxHandler syntax) {
            this.syntax = syntax;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                if (closing) {
                    return;
                }
                if (message instanceof InvalidMessage invalid) {
                    refuse(context, invalid);
                } else if (message instanceof FullHttpRequest request) {
                    serve(context, request);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void serve(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.decoderResult().isSuccess()) {
                respond(context, pages.apply(request.uri()), HttpUtil.isKeepAlive(request));
            } else {
                String cause = String.valueOf(request.decoderResult().cause());
                refuse(context, new InvalidMessage(cause, "a valid request"));
            }
        }

        private void refuse(ChannelHandlerContext context, InvalidMessage invalid) {
            peerFaults.invalid("page", context.channel().remoteAddress(), invalid);
            respond(context, Page.BAD_REQUEST, false);
        }

        private void respond(ChannelHandlerContext context, Page page, boolean keepAlive) {
            ByteBuf content = Unpooled.copiedBuffer(page.body(), StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(page.status()), content);
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, page.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            if (!keepAlive) {
                closing = true;
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        /** Reads no further requests while the responses to earlier ones are unread. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            context.channel().config().setAutoRead(context.channel().isWritable());
            syntax.resume();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
