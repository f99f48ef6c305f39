package io.carawaylift.testing.http;

import io.carawaylift.runtime.Service;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.stream.ChunkedWriteHandler;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * HTTP server on one port. It can be stopped and restarted on the same port; connections are refused in between. Handlers
 * run on an event loop and must not block.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close closes the connection.
public final class HttpListener implements Service {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int BACKLOG = 1024;

    private final EventLoopGroup eventLoops;
    private final String address;
    private final int maxConnections;
    private final Consumer<HttpExchange> handler;
    private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger peakConnections = new AtomicInteger();
    private final AtomicInteger refusedConnections = new AtomicInteger();
    private volatile int port;
    private volatile Channel serverChannel;

    /**
     * Creates a server.
     *
     * @param port 0 for any free port, see {@link #port()}
     * @param maxConnections limit of open connections; further ones are closed as soon as they are accepted
     */
    public HttpListener(
            EventLoopGroup eventLoops, String address, int port, int maxConnections, Consumer<HttpExchange> handler) {
        this.eventLoops = eventLoops;
        this.address = address;
        this.port = port;
        this.maxConnections = maxConnections;
        this.handler = handler;
    }

    /** Returns the configured port, or the bound port after the first start. */
    public int port() {
        return port;
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.size();
    }

    /** Returns the highest number of connections that were open at once. */
    public int peakConnections() {
        return peakConnections.get();
    }

    /** Returns how many connections were closed because of the connection limit. */
    public int refusedConnections() {
        return refusedConnections.get();
    }

    @Override
    public synchronized void start() {
        if (serverChannel != null) {
            return;
        }
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ConnectionInitializer());
        serverChannel = bootstrap.bind(address, port).syncUninterruptibly().channel();
        port = ((java.net.InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Closes the port and every connection, also during a response. */
    @Override
    public synchronized void stop() {
        if (serverChannel == null) {
            return;
        }
        serverChannel.close().syncUninterruptibly();
        serverChannel = null;
        connections.forEach(Channel::close);
    }

    private final class ConnectionInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            connections.add(channel);
            channel.closeFuture().addListener(closed -> connections.remove(channel));
            int openConnections = connections.size();
            if (openConnections > maxConnections) {
                refusedConnections.incrementAndGet();
                channel.close();
                return;
            }
            peakConnections.accumulateAndGet(openConnections, Math::max);
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new ChunkedWriteHandler())
                    .addLast(new RequestHandler());
        }
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            HttpExchange exchange = new HttpExchange(context.channel(), request);
            try {
                handler.accept(exchange);
            } catch (RuntimeException e) {
                exchange.respondText(400, String.valueOf(e.getMessage()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
