package io.carawaylift.host.http;

/** Thrown at the byte at which a message becomes invalid. */
final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient InvalidMessage invalid;

    InvalidMessageException(String read, String expected) {
        super(read + " instead of " + expected, null, false, false);
        this.invalid = new InvalidMessage(read, expected);
    }

    InvalidMessage invalid() {
        return invalid;
    }
}
