package io.carawaylift.entry;

import java.io.IOException;
import okio.ByteString;

/**
 * Writes the response to one request of a caller or of another entry process. Thread-safe. May be used for one response
 * only.
 */
interface CallerResponse {
    /**
     * Sends a whole response without blocking.
     *
     * @param declaredLength Content-Length to send if the response has no body because of its method or status,
     *     otherwise -1
     */
    void send(int status, HeaderList headers, ByteString body, long declaredLength);

    /**
     * Starts a response whose body is written in chunks.
     *
     * @param length length of the body in bytes, -1 if unknown
     * @param deadlineNanos monotonic time after which writing fails
     */
    BodyWriter begin(int status, HeaderList headers, long length, long deadlineNanos);

    /** Closes the connection without a response. */
    void abort();

    /**
     * Runs {@code action} once if the caller disconnects before the response is complete, immediately if it already
     * has.
     */
    void onDisconnect(Runnable action);

    /** Writes a response body; blocks while the caller does not read. */
    interface BodyWriter {
        /**
         * Writes some bytes.
         *
         * @throws IOException if the caller disconnected or the deadline passed
         */
        void write(ByteString bytes) throws IOException;

        /** Ends the response after a complete body. */
        void finish();

        /** Aborts the connection so that the caller notices that the body is incomplete. */
        void abort();
    }
}
