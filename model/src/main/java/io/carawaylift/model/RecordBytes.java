package io.carawaylift.model;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Encoded value of a record: UTF-8 JSON with one array element per line. Immutable; equal if the bytes are equal. */
public final class RecordBytes {
    private final byte[] bytes;

    private RecordBytes(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Returns a value with a copy of {@code bytes}. */
    public static RecordBytes copyOf(byte[] bytes) {
        return new RecordBytes(bytes.clone());
    }

    /** Returns a value with the UTF-8 encoding of {@code text}. */
    public static RecordBytes of(String text) {
        return new RecordBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the number of bytes. */
    public int length() {
        return bytes.length;
    }

    /** Returns a copy of the bytes. */
    public byte[] toArray() {
        return bytes.clone();
    }

    /** Returns the bytes decoded as UTF-8. */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RecordBytes that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return bytes.length + " bytes";
    }
}
