package io.carawaylift.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes that pass through a channel. Shared by all channels of a network. */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which ConnectionHandler handles
@Sharable
final class ByteCountingHandler extends ChannelDuplexHandler {
    private final ByteCounts counts;

    ByteCountingHandler(ByteCounts counts) {
        this.counts = counts;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            counts.addReceived(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            counts.addSent(bytes.readableBytes());
        }
        context.write(message, promise);
    }
}
