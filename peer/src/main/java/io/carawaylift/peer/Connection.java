package io.carawaylift.peer;

/** An open connection to another process. Thread-safe. */
public interface Connection {
    /** Returns what the other process said about itself. */
    Message.Hello remote();

    /**
     * Sends a message without waiting.
     *
     * @return false if the connection is closed or its outbound buffer is full; the message is dropped then
     */
    boolean send(Message message);

    /** Returns whether the outbound buffer has room; {@link PeerListener#writable} follows when it has again. */
    boolean isWritable();

    /** Closes the connection; {@link PeerListener#closed} follows. */
    void close();
}
