package io.carawaylift.host.http;

/**
 * An HTTP message that violates the syntax. The connection on which it arrived cannot be used any more.
 *
 * @param read what was read, without the values of fields, which may be secret
 * @param expected what the syntax requires instead
 */
public record InvalidMessage(String read, String expected) {
    private static final int MAX_EXCERPT_CHARACTERS = 60;

    /** Returns the start of a text with all but printable ASCII characters replaced. */
    static String excerpt(String text) {
        String start =
                text.length() > MAX_EXCERPT_CHARACTERS ? text.substring(0, MAX_EXCERPT_CHARACTERS) + "..." : text;
        return "'" + start.replaceAll("[^ -~]", "?") + "'";
    }

    @Override
    public String toString() {
        return read + " instead of " + expected;
    }
}
