package io.carawaylift.host.http;

/** What the fields of a head say about the end of the message. */
final class Framing {
    /** The largest number of digits that fits a {@code long} whatever the digits are. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private final boolean mayBeChunked;
    private long contentLength = -1;
    private boolean chunked;
    private int hosts;

    /** Creates the framing of a message; {@code mayBeChunked} is false for HTTP/1.0. */
    Framing(boolean mayBeChunked) {
        this.mayBeChunked = mayBeChunked;
    }

    /**
     * Takes note of a field.
     *
     * @throws InvalidMessageException if it makes the end of the message or its host ambiguous
     */
    void add(FieldLine field) throws InvalidMessageException {
        if (field.hasName("Content-Length")) {
            if (contentLength >= 0) {
                throw new InvalidMessageException("two Content-Length fields", "one");
            }
            contentLength = parseLength(field.value());
        } else if (field.hasName("Transfer-Encoding")) {
            if (chunked || !mayBeChunked || !field.value().equalsIgnoreCase("chunked")) {
                throw new InvalidMessageException(
                        "Transfer-Encoding " + InvalidMessage.excerpt(field.value())
                                + (chunked ? " after another one" : ""),
                        mayBeChunked ? "chunked, once" : "none in HTTP/1.0");
            }
            chunked = true;
        } else if (field.hasName("Host")) {
            hosts++;
        }
        if (chunked && contentLength >= 0) {
            throw new InvalidMessageException("Transfer-Encoding and Content-Length", "one of them");
        }
    }

    private static long parseLength(String digits) throws InvalidMessageException {
        if (digits.isEmpty()
                || digits.length() > MAX_LENGTH_DIGITS
                || !digits.chars().allMatch(each -> each >= '0' && each <= '9')) {
            throw new InvalidMessageException(
                    "Content-Length " + InvalidMessage.excerpt(digits), "1 to " + MAX_LENGTH_DIGITS + " digits");
        }
        return Long.parseLong(digits);
    }

    /** Returns the length of the body in bytes, -1 if the head does not state it. */
    long contentLength() {
        return contentLength;
    }

    boolean isChunked() {
        return chunked;
    }

    /** Returns the number of Host fields. */
    int hosts() {
        return hosts;
    }
}
