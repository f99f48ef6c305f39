package io.carawaylift.host;

/**
 * Receives the outcome of a request, exactly once unless the connection is closed by its user. Called on the event
 * loop.
 */
interface OutboundListener {
    /** Called with the complete response. */
    void responseReceived(OutboundResponse response);

    /** Called when no complete response will arrive. */
    void failed(OutboundFailure failure);
}
