package io.carawaylift.host;

/**
 * Counts the bytes that arrive for one response and what of them is content, so that a response which never ends costs
 * neither much memory nor much time. Used on the event loop only.
 */
final class ResponseBytes {
    private static final long MAX_BEFORE_HEAD = 64 * 1024;

    /**
     * Bytes that are not content: heads, chunk sizes, trailers. Each costs far more time than a byte of content, so a
     * body of tiny chunks would occupy the event loop for seconds before it reached the limit of all bytes.
     */
    private static final long MAX_OVERHEAD = 1024 * 1024;

    private final long maxBytes;
    private long received;
    private long content;

    /** Creates a counter for responses of at most {@code maxBytes}, with everything that arrives before them. */
    ResponseBytes(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Starts to count the bytes for the next response. */
    void reset() {
        received = 0;
        content = 0;
    }

    /**
     * Counts bytes before they are decoded.
     *
     * @param headExpected whether the head of the response was not yet read, nor that of one to skip
     * @return whether the limits allow them
     */
    boolean receive(int bytes, boolean headExpected) {
        received += bytes;
        return received <= maxBytes
                && received - content - bytes <= MAX_OVERHEAD
                && (!headExpected || received <= MAX_BEFORE_HEAD);
    }

    /** Counts decoded bytes of a body, also of one that is skipped. */
    void decoded(int bytes) {
        content += bytes;
    }

    /** Returns all bytes so far. */
    long received() {
        return received;
    }
}
