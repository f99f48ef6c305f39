package io.carawaylift.entry;

/** A call in flight. Thread-safe. */
interface OutboundCall {
    /** A call that has ended. */
    OutboundCall ENDED = () -> {};

    /** Cancels the call by closing its connection, so that the other side notices. */
    void cancel();
}
