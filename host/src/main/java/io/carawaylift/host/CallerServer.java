package io.carawaylift.host;

import io.carawaylift.decisions.route.CallerLimits;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

/** Accepts the connections of callers. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which is observed
final class CallerServer {
    private static final int BACKLOG = 512;
    private static final int MAX_REQUEST_LINE_BYTES = 8192;

    private final HostLoop loop;
    private final Supplier<CallerLimits> limits;
    private final CallerConnection.Handler handler;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel listening;
    private boolean stopping;

    CallerServer(HostLoop loop, Supplier<CallerLimits> limits, CallerConnection.Handler handler) {
        this.loop = loop;
        this.limits = limits;
        this.handler = handler;
    }

    /** Starts to accept and returns the address in use; called from outside the event loop. */
    InetSocketAddress start(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop.netty())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        configure(channel);
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new CarawayliftException(ResultCode.NETWORK_FAILED, "cannot bind " + address, bound.cause());
        }
        listening = bound.channel();
        return (InetSocketAddress) listening.localAddress();
    }

    private void configure(Channel channel) {
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(limits.get().maxHeaderBytes());
        CallerConnection connection = new CallerConnection(this, handler);
        channel.pipeline().addLast(new HttpResponseEncoder(), new RequestDecoder(config), connection);
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    CallerLimits limits() {
        return limits.get();
    }

    /** Returns whether answers tell callers to use another connection. */
    boolean isStopping() {
        return stopping;
    }

    int openConnections() {
        return connections.size();
    }

    /** Closes connections that were idle for too long or whose request does not arrive. */
    void sweep() {
        long now = System.nanoTime();
        new ArrayList<>(connections).forEach(connection -> connection.sweep(now));
    }

    /** From now on every answer closes its connection. */
    void prepareStop() {
        stopping = true;
    }

    /** Stops to accept and closes connections without a request. */
    void closeIdle() {
        if (listening != null) {
            listening.close();
        }
        new ArrayList<>(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Returns whether a request is being read or answered. */
    boolean isBusy() {
        return connections.stream().anyMatch(CallerConnection::isBusy);
    }

    /** Rejects requests whose end could be understood in two ways. */
    private static final class RequestDecoder extends HttpRequestDecoder {
        RequestDecoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both a length and a transfer encoding");
        }
    }
}
