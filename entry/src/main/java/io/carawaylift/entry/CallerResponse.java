package io.carawaylift.entry;

import java.io.IOException;
import okio.ByteString;

/** The answer side of one request of a caller or of another entry process. Thread-safe; used for one answer. */
interface CallerResponse {
    /**
     * Sends a whole answer without blocking.
     *
     * @param declaredLength length to announce if the answer has no body because of its method or status, otherwise -1
     */
    void send(int status, HeaderList headers, ByteString body, long declaredLength);

    /**
     * Starts an answer that is written piece by piece.
     *
     * @param length length of the body, -1 if it is not known
     * @param deadlineNanos monotonic time after which writing fails
     */
    BodyWriter begin(int status, HeaderList headers, long length, long deadlineNanos);

    /** Closes the connection without an answer. */
    void abort();

    /** Calls {@code action} once if the caller leaves before the answer is complete; at once if it has left. */
    void onDisconnect(Runnable action);

    /** Writes a body; blocks while the caller does not read. */
    interface BodyWriter {
        /**
         * Writes some bytes.
         *
         * @throws IOException if the caller left or the deadline passed
         */
        void write(ByteString bytes) throws IOException;

        /** Ends a complete body. */
        void finish();

        /** Closes the connection so that the caller sees that the body is not complete. */
        void abort();
    }
}
