package io.carawaylift.testing.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Carries data of a link one way. Used on the link's event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close ends in the close of the connection.
final class Direction extends ChannelInboundHandlerAdapter {
    private static final long MAX_WAITING_BYTES = 1 << 20;

    private final FaultProxy proxy;
    private final Link link;
    private final Channel sink;
    private final boolean fromClient;
    private final Deque<Parcel> waiting = new ArrayDeque<>();
    private Channel source;
    private long waitingBytes;
    private boolean ended;

    private record Parcel(ByteBuf data, long dueNanos) {}

    Direction(FaultProxy proxy, Link link, Channel sink, boolean fromClient) {
        this.proxy = proxy;
        this.link = link;
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
        if (link.muted(fromClient)) {
            data.release();
            return;
        }
        long now = System.nanoTime();
        long wait = proxy.pace(fromClient).reserve(now, data.readableBytes());
        waitingBytes += data.readableBytes();
        waiting.add(new Parcel(data, now + wait));
        if (waitingBytes > MAX_WAITING_BYTES) {
            source.config().setAutoRead(false);
        }
        scheduleFlush(wait);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ended = true;
        if (!link.muted(fromClient)) {
            flush();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /** Sends what is due; closes the sink after the last byte when the source has ended. */
    void flush() {
        if (proxy.frozen()) {
            return;
        }
        long now = System.nanoTime();
        while (!waiting.isEmpty() && waiting.peek().dueNanos() - now <= 0) {
            deliver(waiting.poll().data());
        }
        if (waitingBytes < MAX_WAITING_BYTES) {
            source.config().setAutoRead(true);
        }
        if (!waiting.isEmpty()) {
            scheduleFlush(waiting.peek().dueNanos() - now);
        } else if (ended && !link.muted(fromClient)) {
            sink.close();
        }
    }

    private void deliver(ByteBuf data) {
        waitingBytes -= data.readableBytes();
        if (link.muted(fromClient) || !sink.isActive()) {
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
