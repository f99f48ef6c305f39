package io.carawaylift.testing.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** One client connection and its connection to the target, both on the same event loop. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or close ends in the close of the connection.
final class Link {
    private final FaultProxy proxy;
    private final Channel client;
    private volatile Channel upstream;
    private volatile Direction fromClient;
    private volatile Direction fromTarget;
    private volatile boolean requestsMuted;
    private volatile boolean answersMuted;

    Link(FaultProxy proxy, Channel client) {
        this.proxy = proxy;
        this.client = client;
    }

    void connect(InetSocketAddress target) {
        ChannelFuture connecting = new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // Handlers are added when both connections are open.
                    }
                })
                .connect(target);
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                join(connecting.channel());
            } else {
                reset();
            }
        });
    }

    void reset() {
        reset(client);
        if (upstream != null) {
            reset(upstream);
        }
    }

    void mute() {
        requestsMuted = true;
        answersMuted = true;
    }

    void muteAnswers() {
        answersMuted = true;
    }

    boolean muted(boolean fromClient) {
        return fromClient ? requestsMuted : answersMuted;
    }

    void thaw() {
        client.eventLoop().execute(() -> {
            if (fromClient != null) {
                fromClient.flush();
                fromTarget.flush();
            }
        });
    }

    private void join(Channel channel) {
        upstream = channel;
        fromClient = new Direction(proxy, this, channel, true);
        fromTarget = new Direction(proxy, this, client, false);
        client.pipeline().addLast(fromClient);
        channel.pipeline().addLast(fromTarget);
        client.config().setAutoRead(true);
        channel.config().setAutoRead(true);
    }

    /** Runs on the event loop because the other side of the link may close the channel at the same time. */
    private static void reset(Channel channel) {
        channel.eventLoop().execute(() -> {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
        });
    }
}
