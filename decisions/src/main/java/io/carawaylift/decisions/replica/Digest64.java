package io.carawaylift.decisions.replica;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Computes 64-bit digests: the first 8 bytes of SHA-256, which every Java runtime provides. Thread-safe. */
final class Digest64 {
    private Digest64() {}

    /** Returns the digest of a value. */
    static long of(byte[] bytes) {
        return ByteBuffer.wrap(sha256().digest(bytes)).getLong();
    }

    /** Returns the digest of a name with a version. */
    static long of(String name, long version) {
        byte[] utf8 = name.getBytes(StandardCharsets.UTF_8);
        ByteBuffer input = ByteBuffer.allocate(Long.BYTES + utf8.length);
        return of(input.putLong(version).put(utf8).array());
    }

    /** Returns the digest of a name with a revision of an era. */
    static long of(String name, long era, long revision) {
        byte[] utf8 = name.getBytes(StandardCharsets.UTF_8);
        ByteBuffer input = ByteBuffer.allocate(2 * Long.BYTES + utf8.length);
        return of(input.putLong(era).putLong(revision).put(utf8).array());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime has no SHA-256", e);
        }
    }
}
