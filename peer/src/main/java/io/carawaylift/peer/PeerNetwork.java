package io.carawaylift.peer;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Opens and accepts connections between the processes of the project. A frame is a 4-byte length, a byte for the
 * message type and a MessagePack array. All I/O runs on one thread. Created by {@link #builder}. Thread-safe.
 */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which ConnectionHandler handles
public final class PeerNetwork implements AutoCloseable {
    /** Maximum frame length; a record value has at most one megabyte. */
    static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    private static final int LENGTH_FIELD_BYTES = 4;
    private static final WriteBufferWaterMark OUTBOUND_WATER_MARK =
            new WriteBufferWaterMark(MAX_FRAME_BYTES / 2, 2 * MAX_FRAME_BYTES);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration INITIAL_RECONNECT_DELAY = Duration.ofMillis(50);
    private static final Duration MAX_RECONNECT_DELAY = Duration.ofSeconds(2);
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

    private final Builder settings;
    private final ByteCounts counts = new ByteCounts();
    private final ByteCountingHandler counter = new ByteCountingHandler(counts);
    private final Queue<Channel> listeners = new ConcurrentLinkedQueue<>();
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
    private final RandomGenerator random;

    private PeerNetwork(Builder settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed);
    }

    /** Returns a builder with default timeouts. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Listens for connections.
     *
     * @param port port to bind, 0 for any free one
     * @param hello first message sent on each connection
     * @return the bound port
     * @throws CarawayliftException with {@link ResultCode#NETWORK_FAILED} if the address cannot be bound
     */
    public int listen(String address, int port, Message.Hello hello, PeerListener listener) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, OUTBOUND_WATER_MARK)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        configure(channel, new ConnectionHandler(hello, listener));
                    }
                });
        ChannelFuture bound = bootstrap.bind(address, port).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new CarawayliftException(
                    ResultCode.NETWORK_FAILED, "cannot bind " + address + ":" + port, bound.cause());
        }
        listeners.add(bound.channel());
        return ((InetSocketAddress) bound.channel().localAddress()).getPort();
    }

    /**
     * Connects to an address and reconnects until the returned link is closed.
     *
     * @param address {@code host:port}
     * @param hello first message sent on each connection
     */
    public PeerLink connect(String address, Message.Hello hello, PeerListener listener) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress target =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        ReconnectBackoff backoff = new ReconnectBackoff(INITIAL_RECONNECT_DELAY, MAX_RECONNECT_DELAY, random);
        PeerLink link = new PeerLink(target, hello, listener, backoff, this::open, group.next());
        link.start();
        return link;
    }

    /** Returns the counters of bytes on all connections of this network. */
    public ByteCounts byteCounts() {
        return counts;
    }

    /** Closes all connections and waits up to two seconds each for the bound ports and for the network thread to end. */
    @Override
    public void close() {
        // A group that is shut down right away may end without releasing the ports.
        listeners.forEach(listener -> listener.close().awaitUninterruptibly(SHUTDOWN_TIMEOUT.toMillis()));
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        if (!group.terminationFuture().isDone()) {
            group.terminationFuture().awaitUninterruptibly(SHUTDOWN_TIMEOUT.toMillis());
        }
    }

    private ChannelFuture open(InetSocketAddress target, ConnectionHandler handler) {
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, OUTBOUND_WATER_MARK)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        configure(channel, handler);
                    }
                });
        return bootstrap.connect(target);
    }

    private void configure(Channel channel, ConnectionHandler handler) {
        channel.pipeline()
                .addLast(counter)
                .addLast(new IdleStateHandler(
                        settings.readTimeout.toMillis(), settings.pingInterval.toMillis(), 0, TimeUnit.MILLISECONDS))
                .addLast(
                        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                .addLast(handler);
    }

    /** Builds a {@link PeerNetwork}. */
    public static final class Builder {
        private Duration pingInterval = Duration.ofSeconds(1);
        /** Half of the lease duration, so that an unresponsive connection is replaced before a lease expires. */
        private Duration readTimeout = Duration.ofSeconds(3);

        private long seed;

        private Builder() {}

        /** Sets how long a connection may be without an outbound message before a ping is sent. */
        public Builder pingInterval(Duration interval) {
            this.pingInterval = Objects.requireNonNull(interval, "interval");
            return this;
        }

        /**
         * Sets how long a connection may be without inbound bytes before it is closed; must exceed the ping interval.
         */
        public Builder readTimeout(Duration timeout) {
            this.readTimeout = Objects.requireNonNull(timeout, "timeout");
            return this;
        }

        /**
         * Sets the seed of the random reconnect delays; it must differ between hosts, so that they do not reconnect
         * together.
         */
        public Builder seed(long newSeed) {
            this.seed = newSeed;
            return this;
        }

        /** Creates the network and starts its thread. */
        public PeerNetwork build() {
            if (readTimeout.compareTo(pingInterval) <= 0) {
                throw new IllegalArgumentException(
                        "read timeout " + readTimeout + " must exceed the ping interval " + pingInterval);
            }
            return new PeerNetwork(this);
        }
    }
}
