package io.carawaylift.model;

/** What a caller may conclude about its request. */
public enum Outcome {
    /** The upstream ran the request and its whole answer is delivered. */
    ANSWERED,
    /** No upstream ran the request; it is safe to send it again. */
    NOT_RUN,
    /** The request may or may not have run; a once-only request must not be sent again under another ticket. */
    UNKNOWN,
    /** The code does not describe a caller's request, for example a result of an operator command. */
    NOT_A_REQUEST
}
