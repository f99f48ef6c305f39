package io.carawaylift.host;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response from an endpoint or the store.
 *
 * @param body owned by the receiver, which must release it
 * @param bodyReleased must be run once the body is no longer held
 */
record OutboundResponse(int status, HttpHeaders headers, ByteBuf body, Runnable bodyReleased) {
    /** Drops the body. */
    void discard() {
        body.release();
        bodyReleased.run();
    }
}
