package io.carawaylift.entry;

import java.util.Optional;
import okio.ByteString;

/**
 * A request to an endpoint or another entry process.
 *
 * @param deadlineNanos monotonic time at which the call is cancelled
 * @param marginNanos time taken off the deadline that is announced, so that the answer can arrive before ours
 * @param newConnection whether no connection that was used before may carry it
 * @param preSendCheck asked right before the first byte is sent
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
    /** Decides right before sending whether the request may still be sent. */
    interface PreSendCheck {
        /** Returns why the request must not be sent, or empty if it may. */
        Optional<AttemptResult.Refused> check(long nowNanos);
    }

    /** Returns the bytes on the wire, without the request line. */
    int wireBytes() {
        return headers.wireBytes() + body.size();
    }
}
