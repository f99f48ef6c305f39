package io.carawaylift.entry;

import java.util.Optional;
import okio.ByteString;

/**
 * A request to an endpoint or another entry process.
 *
 * @param deadlineNanos monotonic time at which the call is cancelled
 * @param marginNanos subtracted from the announced deadline, so that the response can arrive before
 *     {@code deadlineNanos}
 * @param newConnection whether the request must be sent on a new connection
 * @param preSendCheck called right before the first byte is sent
 */
record OutboundRequest(
        String url,
        String method,
        HeaderList headers,
        ByteString body,
        long deadlineNanos,
        long marginNanos,
        boolean newConnection,
        PreSendCheck preSendCheck) {
    /** Decides immediately before sending whether the request may still be sent. */
    interface PreSendCheck {
        /** Returns the refusal if the request must not be sent, or empty if it may. */
        Optional<AttemptResult.Refused> check(long nowNanos);
    }

    /** Returns the size on the wire in bytes, without the request line. */
    int wireBytes() {
        return headers.wireBytes() + body.size();
    }
}
