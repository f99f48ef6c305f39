package io.carawaylift.peer;

/** Receives the events of connections. Called on the network thread, one call at a time; must not block. */
public interface PeerListener {
    /** The other process has introduced itself; messages can be sent. */
    void opened(Connection connection);

    /** A message arrived; never {@link Message.Hello} or {@link Message.Ping}. */
    void received(Connection connection, Message message);

    /** The outbound buffer has room again. */
    default void writable(Connection connection) {}

    /** The connection ended; called once for each {@link #opened}. */
    void closed(Connection connection);
}
