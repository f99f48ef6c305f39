package io.carawaylift.peer;

/** An open connection to another process. Thread-safe. */
public interface Connection {
    /** Returns the hello message of the other process; null until it arrives. */
    Message.Hello remote();

    /**
     * Sends a message without waiting.
     *
     * @return false if the message was dropped because the connection is closed or its outbound buffer is full
     */
    boolean send(Message message);

    /**
     * Returns whether the outbound buffer accepts messages; {@link PeerListener#writable} is called when it does again.
     */
    boolean isWritable();

    /** Closes the connection without waiting; {@link PeerListener#closed} is called afterwards. */
    void close();
}
