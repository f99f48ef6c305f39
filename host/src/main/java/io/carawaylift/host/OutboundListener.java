package io.carawaylift.host;

/** Receives the one result of a request, on the event loop. */
interface OutboundListener {
    /** The answer is complete. */
    void responseReceived(OutboundResponse response);

    /** No complete answer will come. */
    void failed(OutboundFailure failure);
}
