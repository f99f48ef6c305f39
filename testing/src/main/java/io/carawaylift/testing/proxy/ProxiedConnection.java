package io.carawaylift.testing.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** A client connection and its connection to the target, both on the same event loop. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close closes the connection.
final class ProxiedConnection {
    private final FaultProxy proxy;
    private final Channel clientChannel;
    private volatile Channel targetChannel;
    private volatile ForwardingHandler fromClient;
    private volatile ForwardingHandler fromTarget;
    private volatile boolean requestsMuted;
    private volatile boolean responsesMuted;

    ProxiedConnection(FaultProxy proxy, Channel clientChannel) {
        this.proxy = proxy;
        this.clientChannel = clientChannel;
    }

    void connect(InetSocketAddress target) {
        ChannelFuture connecting = new Bootstrap()
                .group(clientChannel.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // targetConnected adds the handlers when both connections are open.
                    }
                })
                .connect(target);
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                targetConnected(connecting.channel());
            } else {
                reset();
            }
        });
    }

    void reset() {
        reset(clientChannel);
        if (targetChannel != null) {
            reset(targetChannel);
        }
    }

    void mute() {
        requestsMuted = true;
        responsesMuted = true;
    }

    void muteResponses() {
        responsesMuted = true;
    }

    boolean isMuted(boolean fromClient) {
        return fromClient ? requestsMuted : responsesMuted;
    }

    void resume() {
        clientChannel.eventLoop().execute(() -> {
            if (fromClient != null) {
                fromClient.flush();
                fromTarget.flush();
            }
        });
    }

    private void targetConnected(Channel channel) {
        targetChannel = channel;
        fromClient = new ForwardingHandler(proxy, this, channel, true);
        fromTarget = new ForwardingHandler(proxy, this, clientChannel, false);
        clientChannel.pipeline().addLast(fromClient);
        channel.pipeline().addLast(fromTarget);
        clientChannel.config().setAutoRead(true);
        channel.config().setAutoRead(true);
    }

    /** Resets a channel on its event loop, because its peer may close it at the same time. */
    private static void reset(Channel channel) {
        channel.eventLoop().execute(() -> {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
        });
    }
}
