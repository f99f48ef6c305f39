package io.carawaylift.host;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
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
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/** Serves small pages computed from the request target: lookups, readiness and metrics. */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which is observed
final class PageServer {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int IDLE_TIMEOUT_SECONDS = 15;

    private final HostLoop loop;
    private final Function<String, Page> pages;

    /** A response with its status, content type and body. */
    record Page(int status, String contentType, String body) {
        static final Page NOT_FOUND = new Page(404, "text/plain", "");
    }

    /**
     * Creates a server. {@code pages} maps a request target in origin form to a page; it is called on the event loop.
     */
    PageServer(HostLoop loop, Function<String, Page> pages) {
        this.loop = loop;
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
                        channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS),
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new PageHandler());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new CarawayliftException(ResultCode.NETWORK_FAILED, "cannot bind " + address, bound.cause());
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Page page = request.decoderResult().isSuccess() ? pages.apply(request.uri()) : Page.NOT_FOUND;
            ByteBuf content = Unpooled.copiedBuffer(page.body(), StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(page.status()), content);
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, page.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
