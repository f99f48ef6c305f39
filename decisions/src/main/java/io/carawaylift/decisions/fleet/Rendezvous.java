package io.carawaylift.decisions.fleet;

/**
 * Highest random weight hashing: every host derives the same order of candidates for a key without exchanging messages.
 */
public final class Rendezvous {
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    /** Low bits of a hash that a double cannot hold. */
    private static final int UNUSED_BITS = 11;

    private static final double FRACTION_COUNT = 0x1p53;

    private Rendezvous() {}

    /** Returns the weight of a candidate for a key; the candidate with the highest weight comes first. */
    public static long weight(String key, String candidate) {
        return mix(hash(key) ^ Long.rotateLeft(hash(candidate), 32));
    }

    /** Returns a number between 0 and 1, both exclusive, that depends on the key and the candidate only. */
    public static double fraction(String key, String candidate) {
        return ((weight(key, candidate) >>> UNUSED_BITS) + 0.5) / FRACTION_COUNT;
    }

    private static long hash(String text) {
        long hash = GOLDEN_GAMMA;
        for (int i = 0; i < text.length(); i++) {
            hash = mix(hash + text.charAt(i));
        }
        return hash;
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
