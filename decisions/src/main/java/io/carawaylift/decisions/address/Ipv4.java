package io.carawaylift.decisions.address;

/** Parses IPv4 addresses and prefixes in dotted decimal notation. */
final class Ipv4 {
    static final int BITS = 32;
    private static final int OCTETS = 4;
    private static final int MAX_OCTET = 255;

    private Ipv4() {}

    /**
     * Returns an address as 32 bits.
     *
     * @throws IllegalArgumentException if {@code text} is not an IPv4 address
     */
    static int address(String text) {
        return address(text, text.length());
    }

    /**
     * Returns the prefix length after the slash.
     *
     * @throws IllegalArgumentException if {@code prefix} has no length from 0 to 32
     */
    static int length(String prefix) {
        int slash = prefix.indexOf('/');
        int length = slash < 0 ? -1 : number(prefix, slash + 1, prefix.length(), BITS);
        if (length < 0) {
            throw new IllegalArgumentException("not an IPv4 prefix: " + prefix);
        }
        return length;
    }

    /**
     * Returns the address of the prefix.
     *
     * @throws IllegalArgumentException if it is not an IPv4 address or has a bit after the length that is not 0
     */
    static int network(String prefix, int length) {
        int address = address(prefix, prefix.indexOf('/'));
        if ((address & ~mask(length)) != 0) {
            throw new IllegalArgumentException("bits after the prefix length must be 0: " + prefix);
        }
        return address;
    }

    static int mask(int length) {
        return length == 0 ? 0 : -1 << (BITS - length);
    }

    private static int address(String text, int end) {
        int address = 0;
        int start = 0;
        for (int octet = 0; octet < OCTETS; octet++) {
            int dot = octet == OCTETS - 1 ? end : text.indexOf('.', start);
            int value = dot < 0 || dot > end ? -1 : number(text, start, dot, MAX_OCTET);
            if (value < 0) {
                throw new IllegalArgumentException("not an IPv4 address: " + text);
            }
            address = address << 8 | value;
            start = dot + 1;
        }
        return address;
    }

    /** Returns the decimal number from {@code start} to {@code end}, or -1 if it is not a number or exceeds {@code max}. */
    private static int number(String text, int start, int end, int max) {
        if (end <= start || end - start > 3) {
            return -1;
        }
        int value = 0;
        for (int i = start; i < end; i++) {
            char digit = text.charAt(i);
            if (digit < '0' || digit > '9') {
                return -1;
            }
            value = value * 10 + (digit - '0');
        }
        return value <= max ? value : -1;
    }
}
