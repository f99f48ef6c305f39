package io.carawaylift.entry;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** State shared by the connections of the server. Thread-safe. */
final class ServerState {
    /** Max size of a request body. */
    static final int MAX_BODY_BYTES = 1024 * 1024;

    /** Max total size of buffered request bodies; without this limit many uploads would exhaust the memory. */
    private static final long MAX_TOTAL_BODY_BYTES = 128L * 1024 * 1024;

    private final ServerHandler handler;
    private final LongSupplier clock;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicLong bodyBytes = new AtomicLong();
    private volatile boolean closing;

    /** Reason why a request is not dispatched. */
    enum RejectReason {
        MALFORMED,
        BODY_TOO_LARGE,
        NO_MEMORY
    }

    /** Handles the requests of all connections. */
    interface ServerHandler extends RequestHandler {
        /** Refuses a request whose body was not read. */
        void reject(RawRequest request, CallerResponse response, RejectReason reason);
    }

    ServerState(ServerHandler handler, LongSupplier clock) {
        this.handler = handler;
        this.clock = clock;
    }

    LongSupplier clock() {
        return clock;
    }

    void connected(Channel channel) {
        connections.add(channel);
    }

    void disconnected(Channel channel) {
        connections.remove(channel);
    }

    void handle(RawRequest request, CallerResponse response) {
        handler.handle(request, response);
    }

    void reject(RawRequest request, CallerResponse response, RejectReason reason) {
        handler.reject(request, response, reason);
    }

    void requestStarted() {
        inFlight.incrementAndGet();
    }

    void requestEnded() {
        inFlight.decrementAndGet();
    }

    /** Returns the number of requests whose responses are not complete. */
    int inFlight() {
        return inFlight.get();
    }

    boolean reserveBodyBytes(int bytes) {
        if (bodyBytes.addAndGet(bytes) <= MAX_TOTAL_BODY_BYTES) {
            return true;
        }
        bodyBytes.addAndGet(-bytes);
        return false;
    }

    void releaseBodyBytes(long bytes) {
        bodyBytes.addAndGet(-bytes);
    }

    boolean isClosing() {
        return closing;
    }

    /** Closes every connection after its current or next response. */
    void closeAfterResponses() {
        closing = true;
    }

    void closeAll() {
        connections.close().awaitUninterruptibly();
    }
}
