package io.carawaylift.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;

/**
 * Handles one connection: sends the hello message, decodes frames, sends pings and closes the connection when the read
 * timeout expires.
 */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which calls channelInactive
final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> implements Connection {
    private static final Logger LOG = System.getLogger(ConnectionHandler.class.getName());

    private final Message.Hello self;
    private final PeerListener listener;
    private volatile Channel channel;
    private volatile Message.Hello remote;

    ConnectionHandler(Message.Hello self, PeerListener listener) {
        this.self = self;
        this.listener = listener;
    }

    @Override
    public Message.Hello remote() {
        return remote;
    }

    @Override
    public boolean send(Message message) {
        Channel open = channel;
        if (open == null || !open.isActive() || !open.isWritable()) {
            return false;
        }
        open.writeAndFlush(frame(message), open.voidPromise());
        return true;
    }

    @Override
    public boolean isWritable() {
        Channel open = channel;
        return open != null && open.isActive() && open.isWritable();
    }

    @Override
    public void close() {
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        context.writeAndFlush(frame(self));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        Optional<Message> message = MessageCodec.decode(ByteBufUtil.getBytes(frame));
        if (message.isEmpty() || message.get() instanceof Message.Ping) {
            return;
        }
        if (message.get() instanceof Message.Hello hello) {
            helloReceived(hello);
        } else if (remote != null) {
            listener.received(this, message.get());
        }
    }

    private void helloReceived(Message.Hello hello) {
        boolean first = remote == null;
        remote = hello;
        if (first) {
            listener.opened(this);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (remote != null && context.channel().isWritable()) {
            listener.writable(this);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof IdleStateEvent idle)) {
            return;
        }
        if (idle.state() == IdleState.READER_IDLE) {
            LOG.log(
                    Level.INFO,
                    "nothing received within the read timeout; closing the connection to {0}",
                    context.channel().remoteAddress());
            context.close();
        } else {
            context.writeAndFlush(frame(new Message.Ping()));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (remote != null) {
            listener.closed(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.log(
                Level.INFO,
                "closing the connection to {0}: {1}",
                context.channel().remoteAddress(),
                cause);
        context.close();
    }

    private static ByteBuf frame(Message message) {
        return Unpooled.wrappedBuffer(MessageCodec.encode(message));
    }
}
