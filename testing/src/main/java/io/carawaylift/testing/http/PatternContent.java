package io.carawaylift.testing.http;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Pseudorandom content of any length that is derived from a text, so that the receiver can verify it. Immutable.
 */
public final class PatternContent {
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

    private final long seed;

    /** Creates the content derived from {@code text}. */
    public PatternContent(String text) {
        long hash = 0;
        for (byte textByte : text.getBytes(StandardCharsets.UTF_8)) {
            hash = mix(hash * 31 + textByte);
        }
        this.seed = hash;
    }

    /** Returns a strong entity tag of the content. */
    public String etag() {
        return '"' + Long.toHexString(seed) + '"';
    }

    /** Returns the bytes from {@code offset} to {@code offset + length}. */
    public byte[] bytes(long offset, int length) {
        byte[] bytes = new byte[length];
        for (int index = 0; index < length; index++) {
            bytes[index] = byteAt(offset + index);
        }
        return bytes;
    }

    /** Returns whether the first {@code length} bytes equal the content at {@code offset}. */
    public boolean matches(long offset, byte[] bytes, int length) {
        for (int index = 0; index < length; index++) {
            if (bytes[index] != byteAt(offset + index)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the length and the CRC-32 of a body, for comparison with another one. */
    public static String checksum(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return bytes.length + "-" + Long.toHexString(crc.getValue());
    }

    private byte byteAt(long position) {
        long word = mix(seed + (position >>> 3) * GOLDEN_RATIO);
        return (byte) (word >>> ((position & 7) << 3));
    }

    /** Finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
