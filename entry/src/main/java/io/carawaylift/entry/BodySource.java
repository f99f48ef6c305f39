package io.carawaylift.entry;

import java.io.IOException;

/** Remainder of a response body that is too long to buffer. Must be read by the thread that received the response. */
interface BodySource {
    /**
     * Reads up to {@code buffer.length} bytes; blocks until some are available.
     *
     * @return number of bytes, or -1 at the end of a complete body
     * @throws IOException if the body is truncated
     */
    int read(byte[] buffer) throws IOException;
}
