package io.carawaylift.entry;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.carawaylift.runtime.Service;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * HTTP server for callers and other entry processes, based on Netty's codec. Jooby is not used here, because it can
 * neither abort a response in the middle of its body nor report that the caller disconnected.
 */
final class EntryHttpServer implements Service {
    private static final int IO_THREADS = 4;
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int IDLE_TIMEOUT_SECONDS = 75;
    private static final long QUIET_PERIOD_MILLIS = 0;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final String address;
    private final int requestedPort;
    private final ServerState state;
    private EventLoopGroup group;
    private Channel serverChannel;

    EntryHttpServer(String address, int port, ServerState state) {
        this.address = address;
        this.requestedPort = port;
        this.state = state;
    }

    @Override
    public void start() {
        group = new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Initializer(state));
        ChannelFuture bound = bootstrap.bind(address, requestedPort).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new CarawayliftException(
                    ResultCode.NETWORK_FAILED, "cannot listen at " + address + ":" + requestedPort, bound.cause());
        }
        serverChannel = bound.channel();
    }

    /** Returns the port that the server listens at. */
    int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Stops accepting connections; open ones remain usable. */
    void stopAccepting() {
        serverChannel.close().awaitUninterruptibly();
    }

    @Override
    public void stop() {
        if (serverChannel == null) {
            return;
        }
        stopAccepting();
        state.closeAll();
        group.shutdownGracefully(QUIET_PERIOD_MILLIS, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }

    private static final class Initializer extends ChannelInitializer<SocketChannel> {
        private final ServerState state;

        Initializer(ServerState state) {
            this.state = state;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpServerExpectContinueHandler())
                    .addLast(new IdleStateHandler(IDLE_TIMEOUT_SECONDS, 0, 0))
                    .addLast(new CallerHandler(state));
        }
    }
}
