package io.carawaylift.model;

/** Whether a request ran, as far as its caller can know from the result code. */
public enum Outcome {
    /** The upstream ran the request, and its response is delivered in full. */
    ANSWERED,
    /** No upstream ran the request; it is safe to retry. */
    NOT_RUN,
    /** The request may or may not have run; an at-most-once request must not be retried with another ticket. */
    UNKNOWN,
    /** The code does not describe a caller's request but, for example, the result of an operator command. */
    NOT_A_REQUEST
}
