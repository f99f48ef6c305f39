package io.carawaylift.entry;

import java.io.IOException;

/** Rest of an answer's body that is too long to be read whole. Used by one thread, the one that received the answer. */
interface BodySource {
    /**
     * Reads some bytes; blocks.
     *
     * @return number of bytes, or -1 at the end of a complete body
     * @throws IOException if the body breaks off
     */
    int read(byte[] buffer) throws IOException;
}
