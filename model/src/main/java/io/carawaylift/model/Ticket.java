package io.carawaylift.model;

import java.util.Objects;

/**
 * Permission for one at-most-once request. Only the entry process that issued the ticket may run the request.
 *
 * @param process entry process that issued the ticket
 * @param window number of the ticket window in which the ticket was issued, by which the issuer's ledger expires it
 * @param nonce 128 random bits as 32 hexadecimal digits
 */
public record Ticket(EntryProcess process, long window, String nonce) {
    private static final int FIELD_COUNT = 4;

    public Ticket {
        Objects.requireNonNull(process, "process");
        if (!nonce.matches("[0-9a-f]{32}")) {
            throw new CarawayliftException(
                    ResultCode.BAD_REQUEST, "ticket nonce '" + nonce + "' is not 32 hexadecimal digits");
        }
    }

    /**
     * Parses {@code host.incarnation.window.nonce}. A host id contains no dot.
     *
     * @throws CarawayliftException with {@link ResultCode#BAD_REQUEST} if the text is malformed
     */
    public static Ticket parse(String text) {
        String[] fields = text.split("\\.", -1);
        if (fields.length != FIELD_COUNT) {
            throw malformed(text, null);
        }
        try {
            EntryProcess process = new EntryProcess(fields[0], Long.parseLong(fields[1]));
            return new Ticket(process, Long.parseLong(fields[2]), fields[3]);
        } catch (NumberFormatException e) {
            throw malformed(text, e);
        }
    }

    private static CarawayliftException malformed(String text, Throwable cause) {
        return new CarawayliftException(
                ResultCode.BAD_REQUEST, "ticket '" + text + "' is not host.incarnation.window.nonce", cause);
    }

    @Override
    public String toString() {
        return process + "." + window + "." + nonce;
    }
}
