package io.carawaylift.host;

import io.carawaylift.decisions.route.CallerLimits;
import io.carawaylift.host.drain.DrainedServer;
import io.carawaylift.host.http.InvalidMessage;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

/** Accepts connections of callers and closes idle ones. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which is observed
final class CallerServer implements DrainedServer {
    private static final int BACKLOG = 512;
    private static final int MAX_REQUEST_LINE_BYTES = 8192;

    private final HostLoop loop;
    private final Supplier<CallerLimits> callerLimits;
    private final HostOptions.PipelineLimits limits;
    private final BufferBudget requestBudget;
    private final PeerFaults peerFaults;
    private final CallerHandler handler;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel listening;
    private boolean stopping;
    private int pipelinedRequests;
    private long heldBytes;

    /** Creates a server; {@code requestBudget} bounds the bodies of all requests together. */
    CallerServer(
            HostLoop loop,
            Supplier<CallerLimits> callerLimits,
            HostOptions.PipelineLimits limits,
            BufferBudget requestBudget,
            PeerFaults peerFaults,
            CallerHandler handler) {
        this.loop = loop;
        this.requestBudget = requestBudget;
        this.callerLimits = callerLimits;
        this.limits = limits;
        this.peerFaults = peerFaults;
        this.handler = handler;
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
                .setMaxHeaderSize(callerLimits.get().maxHeaderBytes());
        CallerConnection connection = new CallerConnection(this, handler);
        channel.pipeline()
                .addLast(new HttpResponseEncoder(), connection.syntax(), new HttpRequestDecoder(config), connection);
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    BufferBudget requestBudget() {
        return requestBudget;
    }

    /** Logs what ended a connection, unless the network did. */
    void connectionFailed(Throwable cause) {
        if (!(cause instanceof IOException)) {
            loop.logFault(cause);
        }
    }

    /** Logs an invalid request. */
    void requestInvalid(SocketAddress peer, InvalidMessage message) {
        peerFaults.invalid("caller", peer, message);
    }

    /** Logs that a connection is closed because its caller does not read. */
    void readerStuck(SocketAddress peer, long heldBytes) {
        peerFaults.unread(peer, heldBytes);
    }

    CallerLimits callerLimits() {
        return callerLimits.get();
    }

    HostOptions.PipelineLimits limits() {
        return limits;
    }

    /** Changes the totals of all connections. */
    void heldChanged(int requests, long bytes) {
        pipelinedRequests += requests;
        heldBytes += bytes;
    }

    /** Returns whether a connection may read a request while it has others in progress. */
    boolean mayReadAhead() {
        return pipelinedRequests < limits.maxTotalRequests() && heldBytes < limits.maxTotalBytes();
    }

    /** Returns the requests that are read and whose responses are not written. */
    int pipelinedRequests() {
        return pipelinedRequests;
    }

    /** Returns the bytes of requests and responses that are held for all connections. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns the bytes of requests and responses that are held for the connection with the most. */
    long maxHeldBytes() {
        return connections.stream().mapToLong(CallerConnection::heldBytes).max().orElse(0);
    }

    /** Returns whether each response closes its connection, so that callers connect to another host. */
    boolean isStopping() {
        return stopping;
    }

    int openConnections() {
        return connections.size();
    }

    /** Closes connections that were idle for too long or whose request does not arrive in time. */
    void sweep() {
        long now = System.nanoTime();
        new ArrayList<>(connections).forEach(connection -> connection.sweep(now));
    }

    /** Makes each following response close its connection. */
    void prepareStop() {
        stopping = true;
    }

    @Override
    public void stopAccepting() {
        if (listening != null) {
            listening.close();
        }
        new ArrayList<>(connections).forEach(CallerConnection::closeIfIdle);
    }

    @Override
    public void answerAll() {
        new ArrayList<>(connections).forEach(CallerConnection::answerAll);
    }

    @Override
    public boolean isBusy() {
        return connections.stream().anyMatch(CallerConnection::isBusy);
    }
}
