package io.carawaylift.host.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks of the first line of a message. */
final class StartLine {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] ([1-5][0-9]{2})( .*)?", Pattern.DOTALL);
    private static final Pattern REQUEST_LINE = Pattern.compile("([^ ]*) [^ \t]+ HTTP/1\\.[01]");
    private static final int SWITCHING_PROTOCOLS_STATUS = 101;

    private StartLine() {}

    /** Returns whether the message has the version HTTP/1.1. */
    static boolean isVersion11(String line) {
        return line.startsWith("HTTP/1.1") || line.endsWith("HTTP/1.1");
    }

    /**
     * Returns the status of a response.
     *
     * @throws InvalidMessageException if the line is malformed or the status is outside 100 to 599
     */
    static int status(String line) throws InvalidMessageException {
        Matcher matcher = STATUS_LINE.matcher(line);
        if (!matcher.matches()) {
            throw new InvalidMessageException(
                    "status line " + InvalidMessage.excerpt(line), "HTTP/1.1, a status from 100 to 599, a reason");
        }
        int status = Integer.parseInt(matcher.group(1));
        if (status == SWITCHING_PROTOCOLS_STATUS) {
            throw new InvalidMessageException("status 101", "no change of the protocol, since none was requested");
        }
        return status;
    }

    /**
     * Checks the first line of a request.
     *
     * @throws InvalidMessageException if it is malformed
     */
    static void requireRequest(String line) throws InvalidMessageException {
        Matcher matcher = REQUEST_LINE.matcher(line);
        if (!matcher.matches()) {
            throw new InvalidMessageException(
                    "a request line of " + line.length() + " bytes with other parts",
                    "a method, a target and HTTP/1.1, separated by single spaces");
        }
        FieldLine.requireToken(matcher.group(1), "the method");
    }
}
