package io.carawaylift.peer;

/** Receives connection events. Called on the network thread, one call at a time; implementations must not block. */
public interface PeerListener {
    /** The first {@link Message.Hello} of the other process arrived; messages can be sent. */
    void opened(Connection connection);

    /** A message arrived; never {@link Message.Hello} or {@link Message.Ping}. */
    void received(Connection connection, Message message);

    /** The outbound buffer was full and accepts messages again. */
    default void writable(Connection connection) {}

    /** The connection was closed; called once for each {@link #opened}. */
    void closed(Connection connection);
}
