package io.carawaylift.entry;

/** A call in flight. Thread-safe. */
interface OutboundCall {
    /** A call that has ended. */
    OutboundCall ENDED = () -> {};

    /** Closes the connection of the call, so that the other side notices. */
    void cancel();
}
