package io.carawaylift.testing.proxy;

import io.carawaylift.runtime.Service;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Forwards TCP connections to one target and injects faults, which can be set at any time. Thread-safe. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close closes the connection.
public final class FaultProxy implements Service {
    private final String address;
    private final InetSocketAddress target;
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile TrafficShaper toTargetShaper = new TrafficShaper(0, 0);
    private volatile TrafficShaper toClientShaper = new TrafficShaper(0, 0);
    private volatile boolean frozen;
    private volatile Channel listener;
    private volatile int port;

    /** Creates a proxy; port 0 selects any free port. */
    public FaultProxy(String address, int port, InetSocketAddress target) {
        this.address = address;
        this.port = port;
        this.target = target;
    }

    /** Returns the configured port, or after the first start the bound one. */
    public int port() {
        return port;
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.size();
    }

    /** Sets the delay and bandwidth of each direction, 0 for no limit; does not affect data that was already received. */
    public void pace(long delayMs, long bytesPerSecond) {
        toTargetShaper = new TrafficShaper(delayMs, bytesPerSecond);
        toClientShaper = new TrafficShaper(delayMs, bytesPerSecond);
    }

    /** Resets all open connections; new ones are not affected. */
    public void resetConnections() {
        connections.forEach(ProxiedConnection::reset);
    }

    /** Drops all further data of the open connections without closing them; new ones are not affected. */
    public void mute() {
        connections.forEach(ProxiedConnection::mute);
    }

    /** Drops all further data that the target sends on the open connections; requests still reach it. */
    public void muteResponses() {
        connections.forEach(ProxiedConnection::muteResponses);
    }

    /** Delays all data of open and new connections from {@code true} until {@code false}; no data is lost. */
    public void freeze(boolean value) {
        frozen = value;
        if (!value) {
            connections.forEach(ProxiedConnection::resume);
        }
    }

    /** Opens or closes the listening port; open connections are not affected. */
    public synchronized void accept(boolean value) {
        if (value && listener == null) {
            bind();
        } else if (!value && listener != null) {
            listener.close().syncUninterruptibly();
            listener = null;
        }
    }

    @Override
    public void start() {
        accept(true);
    }

    @Override
    public void stop() {
        accept(false);
        resetConnections();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    boolean frozen() {
        return frozen;
    }

    TrafficShaper shaper(boolean fromClient) {
        return fromClient ? toTargetShaper : toClientShaper;
    }

    private void bind() {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        open(client);
                    }
                });
        listener = bootstrap.bind(address, port).syncUninterruptibly().channel();
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private void open(Channel client) {
        ProxiedConnection connection = new ProxiedConnection(this, client);
        connections.add(connection);
        client.closeFuture().addListener(closed -> connections.remove(connection));
        connection.connect(target);
    }
}
