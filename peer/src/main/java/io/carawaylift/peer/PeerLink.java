package io.carawaylift.peer;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

/** A connection to one address that is reopened after each loss, until it is closed. Thread-safe. */
@SuppressWarnings("FutureReturnValueIgnored") // failures close the channel, which schedules a reconnect
public final class PeerLink implements AutoCloseable {
    private final InetSocketAddress target;
    private final Message.Hello hello;
    private final PeerListener listener;
    private final ReconnectBackoff backoff;
    private final BiFunction<InetSocketAddress, ConnectionHandler, ChannelFuture> opener;
    private final EventLoop loop;
    private volatile boolean closed;
    private volatile ConnectionHandler current;

    PeerLink(
            InetSocketAddress target,
            Message.Hello hello,
            PeerListener listener,
            ReconnectBackoff backoff,
            BiFunction<InetSocketAddress, ConnectionHandler, ChannelFuture> opener,
            EventLoop loop) {
        this.target = target;
        this.hello = hello;
        this.listener = listener;
        this.backoff = backoff;
        this.opener = opener;
        this.loop = loop;
    }

    void start() {
        loop.execute(this::open);
    }

    /** Sends a message without waiting; returns false if it was dropped because no connection can accept it now. */
    public boolean send(Message message) {
        ConnectionHandler handler = current;
        return handler != null && handler.remote() != null && handler.send(message);
    }

    /** Returns whether the hello message of the other process has arrived on the current connection. */
    public boolean isConnected() {
        ConnectionHandler handler = current;
        return handler != null && handler.remote() != null;
    }

    /** Closes the connection and stops reconnecting. */
    @Override
    public void close() {
        closed = true;
        ConnectionHandler handler = current;
        if (handler != null) {
            handler.close();
        }
    }

    private void open() {
        if (closed) {
            return;
        }
        ConnectionHandler handler = new ConnectionHandler(hello, new BackoffResettingListener());
        current = handler;
        opener.apply(target, handler).addListener((ChannelFuture connected) -> {
            if (!connected.isSuccess()) {
                scheduleReconnect();
                return;
            }
            connected.channel().closeFuture().addListener(ended -> scheduleReconnect());
            if (closed) {
                connected.channel().close();
            }
        });
    }

    private void scheduleReconnect() {
        current = null;
        if (closed || loop.isShuttingDown()) {
            return;
        }
        try {
            loop.schedule(this::open, backoff.nextMillis(), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            closed = true;
        }
    }

    /**
     * Resets the backoff only when a hello message arrives, because a terminating process may still accept connections.
     */
    private final class BackoffResettingListener implements PeerListener {
        @Override
        public void opened(Connection connection) {
            backoff.reset();
            listener.opened(connection);
        }

        @Override
        public void received(Connection connection, Message message) {
            listener.received(connection, message);
        }

        @Override
        public void writable(Connection connection) {
            listener.writable(connection);
        }

        @Override
        public void closed(Connection connection) {
            listener.closed(connection);
        }
    }
}
