package io.carawaylift.host.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.BooleanSupplier;

/**
 * Follows the messages of one direction of a connection and finds the first byte that violates the syntax of HTTP/1.1.
 * Accepts only messages that have one interpretation, so that every decoder finds the same ends of messages. The time
 * is linear in the bytes of heads and constant for a part of a body. Not thread-safe.
 */
final class MessageSyntax {
    /** More than any limit of the decoders behind, which refuse long heads by their own limits. */
    private static final int MAX_LINE_BYTES = 1024 * 1024;

    /** Bytes of a line whose buffer an idle connection keeps. */
    private static final int MAX_KEPT_LINE_BYTES = 1024;

    private static final int INITIAL_LINE_BYTES = 128;
    private static final int HEX_RADIX = 16;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT_STATUS = 204;
    private static final int NOT_MODIFIED_STATUS = 304;
    private static final int DELETE = 0x7f;
    private static final byte[] HEAD_METHOD = "HEAD".getBytes(StandardCharsets.US_ASCII);

    private enum Part {
        START_LINE,
        FIELDS,
        BODY,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS
    }

    private final boolean requests;
    private final BooleanSupplier headRequest;
    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int lineLength;
    private boolean startsWithHead;
    private Part part = Part.START_LINE;
    private boolean carriageReturn;
    private int status;
    private Framing framing;
    private long remainingBytes;
    private InvalidMessage invalid;

    private MessageSyntax(boolean requests, BooleanSupplier headRequest) {
        this.requests = requests;
        this.headRequest = headRequest;
    }

    static MessageSyntax ofRequests() {
        return new MessageSyntax(true, () -> false);
    }

    /** {@code headRequest} tells whether the response in progress belongs to a HEAD request and has no body. */
    static MessageSyntax ofResponses(BooleanSupplier headRequest) {
        return new MessageSyntax(false, headRequest);
    }

    /** Returns the first violation; null if there is none so far. */
    InvalidMessage invalid() {
        return invalid;
    }

    /** Returns whether the last message, which may be invalid or not complete, is a request with the method HEAD. */
    boolean isHeadRequest() {
        return requests && startsWithHead;
    }

    /** Returns whether the bytes so far end with a complete message. */
    boolean isBetweenMessages() {
        return part == Part.START_LINE && lineLength == 0 && !carriageReturn;
    }

    /**
     * Follows the readable bytes up to the end of a message, the first violation or their end, whichever comes first, and
     * returns their number.
     */
    int nextPart(ByteBuf bytes) {
        int start = bytes.readerIndex();
        int index = start;
        try {
            while (index < bytes.writerIndex() && part != Part.BODY_UNTIL_CLOSE) {
                if (index > start && isBetweenMessages()) {
                    return index - start;
                }
                if (part == Part.BODY || part == Part.CHUNK_DATA) {
                    long skipped = Math.min(remainingBytes, bytes.writerIndex() - index);
                    index += (int) skipped;
                    remainingBytes -= skipped;
                    if (remainingBytes == 0) {
                        part = part == Part.BODY ? Part.START_LINE : Part.CHUNK_END;
                    }
                } else {
                    add(bytes.getByte(index) & 0xff);
                    index++;
                }
            }
        } catch (InvalidMessageException e) {
            invalid = e.invalid();
            return index - start;
        }
        return bytes.readableBytes();
    }

    private void add(int next) throws InvalidMessageException {
        if (part == Part.START_LINE && lineLength <= HEAD_METHOD.length) {
            startsWithHead = lineLength == HEAD_METHOD.length
                    && (next == ' ' || next == '\t')
                    && Arrays.equals(line, 0, lineLength, HEAD_METHOD, 0, lineLength);
        }
        if (carriageReturn != (next == '\n')) {
            throw new InvalidMessageException(
                    carriageReturn ? "a bare CR in " + describe() : "a bare LF in " + describe(), "CR LF");
        }
        if (next == '\n') {
            carriageReturn = false;
            String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1);
            if (line.length > MAX_KEPT_LINE_BYTES) {
                line = new byte[INITIAL_LINE_BYTES];
            }
            lineLength = 0;
            lineEnded(text);
        } else if (next == '\r') {
            carriageReturn = true;
        } else if ((next < ' ' && next != '\t') || next == DELETE) {
            throw new InvalidMessageException(
                    String.format("byte 0x%02x at position %d of %s", next, lineLength, describe()),
                    "no control character");
        } else if (lineLength >= MAX_LINE_BYTES) {
            throw new InvalidMessageException(
                    describe() + " of more than " + MAX_LINE_BYTES + " bytes", "a shorter one");
        } else {
            if (lineLength == line.length) {
                line = Arrays.copyOf(line, 2 * lineLength);
            }
            line[lineLength++] = (byte) next;
        }
    }

    private String describe() {
        return switch (part) {
            case START_LINE -> "a start line";
            case FIELDS, TRAILERS -> "a field line";
            default -> "a chunk size or end";
        };
    }

    private void lineEnded(String text) throws InvalidMessageException {
        switch (part) {
            case START_LINE -> startLine(text);
            case FIELDS -> {
                if (text.isEmpty()) {
                    headEnded();
                } else {
                    framing.add(FieldLine.parse(text));
                }
            }
            case CHUNK_SIZE -> {
                remainingBytes = chunkSize(text);
                part = remainingBytes == 0 ? Part.TRAILERS : Part.CHUNK_DATA;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new InvalidMessageException(text.length() + " bytes after a chunk", "CR LF");
                }
                part = Part.CHUNK_SIZE;
            }
            case TRAILERS -> {
                if (text.isEmpty()) {
                    part = Part.START_LINE;
                } else {
                    FieldLine.parse(text);
                }
            }
            case BODY, BODY_UNTIL_CLOSE, CHUNK_DATA -> throw new IllegalStateException("no lines in " + part);
        }
    }

    private void startLine(String text) throws InvalidMessageException {
        if (requests && text.isEmpty()) {
            // RFC 9112, section 2.2: a server ignores empty lines before a request.
            return;
        }
        if (requests) {
            StartLine.requireRequest(text);
        } else {
            status = StartLine.status(text);
        }
        framing = new Framing(StartLine.isVersion11(text));
        part = Part.FIELDS;
    }

    private void headEnded() throws InvalidMessageException {
        if (requests && framing.hosts() > 1) {
            throw new InvalidMessageException(framing.hosts() + " Host fields", "one");
        }
        if (!requests && isBodyless()) {
            part = Part.START_LINE;
        } else if (framing.isChunked()) {
            part = Part.CHUNK_SIZE;
        } else if (framing.contentLength() > 0) {
            remainingBytes = framing.contentLength();
            part = Part.BODY;
        } else if (framing.contentLength() == 0 || requests) {
            part = Part.START_LINE;
        } else {
            part = Part.BODY_UNTIL_CLOSE;
        }
    }

    private boolean isBodyless() throws InvalidMessageException {
        if (status < FIRST_FINAL_STATUS && (framing.isChunked() || framing.contentLength() > 0)) {
            throw new InvalidMessageException("status " + status + " with a body", "no body");
        }
        return status < FIRST_FINAL_STATUS
                || status == NO_CONTENT_STATUS
                || status == NOT_MODIFIED_STATUS
                || headRequest.getAsBoolean();
    }

    /** Parses a chunk size, behind which extensions may follow. */
    private static long chunkSize(String text) throws InvalidMessageException {
        long size = 0;
        int digits = 0;
        while (digits < text.length()
                && Character.digit(text.charAt(digits), HEX_RADIX) >= 0
                && size <= Integer.MAX_VALUE) {
            size = size * HEX_RADIX + Character.digit(text.charAt(digits), HEX_RADIX);
            digits++;
        }
        boolean ended = digits == text.length() || "; \t".indexOf(text.charAt(digits)) >= 0;
        if (digits == 0 || !ended || size > Integer.MAX_VALUE) {
            throw new InvalidMessageException(
                    "chunk size " + InvalidMessage.excerpt(text), "hexadecimal digits up to " + Integer.MAX_VALUE);
        }
        return size;
    }
}
