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
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Connections between the project's processes: frames of a 4-byte length and a MessagePack message, on one network
 * thread. Built by {@link #builder}. Thread-safe.
 */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which is observed
public final class PeerNetwork implements AutoCloseable {
    /** Longest frame in bytes; a record value has at most one megabyte. */
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
     * Accepts connections.
     *
     * @param port port, 0 for any free one
     * @param hello what this process says about itself
     * @return the port
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
        return ((InetSocketAddress) bound.channel().localAddress()).getPort();
    }

    /**
     * Connects to {@code host:port} and reconnects until the returned link is closed.
     *
     * @param hello what this process says about itself
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

    /** Returns the bytes sent and received on all connections of this network. */
    public ByteCounts byteCounts() {
        return counts;
    }

    /** Closes all connections and waits for the network thread to end. */
    @Override
    public void close() {
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
                .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                .addLast(handler);
    }

    /** Collects the settings of a network. */
    public static final class Builder {
        private Duration pingInterval = Duration.ofSeconds(1);
        /** Half a lease, so that a silent connection is replaced before a lease expires. */
        private Duration readTimeout = Duration.ofSeconds(3);

        private long seed;

        private Builder() {}

        /** Sets after how long without a message a ping is sent. */
        public Builder pingInterval(Duration interval) {
            this.pingInterval = Objects.requireNonNull(interval, "interval");
            return this;
        }

        /** Sets after how long without a byte received a connection is closed; must exceed the ping interval. */
        public Builder readTimeout(Duration timeout) {
            this.readTimeout = Objects.requireNonNull(timeout, "timeout");
            return this;
        }

        /** Sets the seed of the reconnect delays; it must differ between hosts. */
        public Builder seed(long newSeed) {
            this.seed = newSeed;
            return this;
        }

        /** Returns the network with its thread started. */
        public PeerNetwork build() {
            if (readTimeout.compareTo(pingInterval) <= 0) {
                throw new IllegalArgumentException(
                        "read timeout " + readTimeout + " must exceed the ping interval " + pingInterval);
            }
            return new PeerNetwork(this);
        }
    }
}
