package io.carawaylift.host.http;

import java.util.BitSet;

/**
 * A field line of a head or trailer section.
 *
 * @param name a token, as it was sent
 * @param value without the white space around it
 */
record FieldLine(String name, String value) {
    private static final BitSet TOKEN = new BitSet();

    static {
        TOKEN.set('0', '9' + 1);
        TOKEN.set('A', 'Z' + 1);
        TOKEN.set('a', 'z' + 1);
        "!#$%&'*+-.^_`|~".chars().forEach(TOKEN::set);
    }

    /**
     * Parses a line that contains no control characters but tabs.
     *
     * @throws InvalidMessageException if its name is not a token, such as that of a folded line
     */
    static FieldLine parse(String line) throws InvalidMessageException {
        int colon = line.indexOf(':');
        if (colon < 0) {
            throw new InvalidMessageException(
                    "a field line of " + line.length() + " bytes without a colon", "a name and a colon");
        }
        String name = line.substring(0, colon);
        requireToken(name, "the name of a field");
        return new FieldLine(name, line.substring(colon + 1).strip());
    }

    /**
     * Checks that a text is a token.
     *
     * @throws InvalidMessageException if it is empty or contains another character
     */
    static void requireToken(String text, String what) throws InvalidMessageException {
        if (text.isEmpty()) {
            throw new InvalidMessageException("an empty text as " + what, "a token");
        }
        for (int i = 0; i < text.length(); i++) {
            if (!TOKEN.get(text.charAt(i))) {
                throw new InvalidMessageException(
                        String.format("byte 0x%02x at position %d of %s", (int) text.charAt(i), i, what),
                        "a token character");
            }
        }
    }

    boolean hasName(String other) {
        return name.equalsIgnoreCase(other);
    }
}
