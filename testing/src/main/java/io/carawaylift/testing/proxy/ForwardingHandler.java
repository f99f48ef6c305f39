package io.carawaylift.testing.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Forwards data in one direction of a connection with the delay and bandwidth of the proxy. Not thread-safe: event
 * loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close closes the connection.
final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private static final long MAX_PENDING_BYTES = 1 << 20;

    private final FaultProxy proxy;
    private final ProxiedConnection connection;
    private final Channel sink;
    private final boolean fromClient;
    private final Deque<PendingData> pending = new ArrayDeque<>();
    private Channel source;
    private long pendingBytes;
    private boolean ended;

    private record PendingData(ByteBuf data, long dueNanos) {}

    ForwardingHandler(FaultProxy proxy, ProxiedConnection connection, Channel sink, boolean fromClient) {
        this.proxy = proxy;
        this.connection = connection;
        this.sink = sink;
        this.fromClient = fromClient;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        source = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf data = (ByteBuf) message;
        if (connection.isMuted(fromClient)) {
            data.release();
            return;
        }
        long now = System.nanoTime();
        long wait = proxy.shaper(fromClient).reserve(now, data.readableBytes());
        pendingBytes += data.readableBytes();
        pending.add(new PendingData(data, now + wait));
        if (pendingBytes > MAX_PENDING_BYTES) {
            source.config().setAutoRead(false);
        }
        scheduleFlush(wait);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ended = true;
        if (!connection.isMuted(fromClient)) {
            flush();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /** Forwards the data that is due; closes the sink after the last byte if the source has closed. */
    void flush() {
        if (proxy.frozen()) {
            return;
        }
        long now = System.nanoTime();
        while (!pending.isEmpty() && pending.peek().dueNanos() - now <= 0) {
            deliver(pending.poll().data());
        }
        if (pendingBytes < MAX_PENDING_BYTES) {
            source.config().setAutoRead(true);
        }
        if (!pending.isEmpty()) {
            scheduleFlush(pending.peek().dueNanos() - now);
        } else if (ended && !connection.isMuted(fromClient)) {
            sink.close();
        }
    }

    private void deliver(ByteBuf data) {
        pendingBytes -= data.readableBytes();
        if (connection.isMuted(fromClient) || !sink.isActive()) {
            ReferenceCountUtil.release(data);
        } else {
            sink.writeAndFlush(data);
        }
    }

    private void scheduleFlush(long nanos) {
        if (nanos <= 0) {
            flush();
        } else {
            sink.eventLoop().schedule(this::flush, nanos, TimeUnit.NANOSECONDS);
        }
    }
}
