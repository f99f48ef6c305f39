package io.carawaylift.model;

import java.util.Optional;

/** Result of a request or command. A test compares the table in docs/result-codes.md with this type. */
public enum ResultCode {
    ANSWERED(100, 200, Outcome.ANSWERED, "The upstream answered."),
    REPLAYED(101, 200, Outcome.ANSWERED, "The answer of an earlier attempt with the same ticket is repeated."),
    ANSWER_NOT_KEPT(
            102, 409, Outcome.ANSWERED, "The request ran and was answered before, but the answer is no longer kept."),

    BAD_REQUEST(200, 400, Outcome.NOT_RUN, "The request is malformed; the detail names the header or value."),
    UNKNOWN_SERVICE(201, 404, Outcome.NOT_RUN, "The table has no service with this name."),
    BODY_TOO_LARGE(202, 413, Outcome.NOT_RUN, "The request body exceeds the limit of the entry process."),
    TICKET_REQUIRED(203, 428, Outcome.NOT_RUN, "A once-only request needs a ticket."),
    LEDGER_FULL(204, 503, Outcome.NOT_RUN, "The ledger of once-only requests has no room for a new ticket."),
    UNKNOWN_KEY(205, 401, Outcome.NOT_RUN, "The request has no key, or one that identifies no customer."),
    QUOTA_EXCEEDED(206, 429, Outcome.NOT_RUN, "The customer has used up its quota."),
    NO_TABLE(210, 503, Outcome.NOT_RUN, "The process has not learned a table yet."),
    NO_UPSTREAM(211, 503, Outcome.NOT_RUN, "No upstream of the service may take the request now."),
    QUEUE_FULL(212, 503, Outcome.NOT_RUN, "The queue is full of work of the same or higher rank."),
    DEADLINE_TOO_SHORT(213, 503, Outcome.NOT_RUN, "The estimated wait exceeds the request's deadline."),
    EXPIRED_IN_QUEUE(214, 503, Outcome.NOT_RUN, "The deadline passed before a slot was free."),
    DISPLACED(215, 503, Outcome.NOT_RUN, "Work of higher rank took the place in the queue."),
    UPSTREAM_REFUSED(216, 503, Outcome.NOT_RUN, "The upstream refused the request before running it."),
    CONNECT_FAILED(217, 503, Outcome.NOT_RUN, "No connection was made, so nothing was sent."),
    CANCELLED_IN_QUEUE(218, 499, Outcome.NOT_RUN, "The caller left before the request was sent."),
    STOPPING(219, 503, Outcome.NOT_RUN, "The entry process is stopping and takes no new work."),
    NOT_OWNER(220, 503, Outcome.NOT_RUN, "The process owns no usable slot of the named upstream."),
    CONFIGURATION_UNPROVEN(
            221, 503, Outcome.NOT_RUN, "The process does not know whether the request's key is still valid."),

    TIMED_OUT(300, 504, Outcome.UNKNOWN, "The request was sent, and no answer came before the deadline."),
    CONNECTION_LOST(301, 502, Outcome.UNKNOWN, "The connection broke after the request was sent."),
    ENTRY_GONE(302, 502, Outcome.UNKNOWN, "The entry process named by the ticket cannot be asked."),
    TICKET_EXPIRED(303, 409, Outcome.UNKNOWN, "The ticket is older than the ledger keeps outcomes."),
    ANSWER_CUT(304, 502, Outcome.UNKNOWN, "The upstream's answer broke off."),
    CALLER_LEFT(305, 499, Outcome.UNKNOWN, "The caller left after the request was sent."),

    TABLE_INVALID(400, 422, Outcome.NOT_A_REQUEST, "The table breaks a rule; each row and column is named."),
    VERSION_CONFLICT(401, 412, Outcome.NOT_A_REQUEST, "Another change was accepted first; the difference is shown."),
    PLATFORM_UNAVAILABLE(402, 503, Outcome.NOT_A_REQUEST, "The platform did not answer."),
    WRITE_UNRESOLVED(
            403, 504, Outcome.NOT_A_REQUEST, "The platform's answer was lost and reading back did not settle it."),
    NOT_IN_FORCE(404, 504, Outcome.NOT_A_REQUEST, "Some live hosts do not have the accepted table in force yet."),
    NOT_FOUND(405, 404, Outcome.NOT_A_REQUEST, "Nothing is known under this id."),
    SETTINGS_INVALID(
            410, 500, Outcome.NOT_A_REQUEST, "A settings file has an error; file, key, value and rule are named."),
    NETWORK_FAILED(411, 500, Outcome.NOT_A_REQUEST, "A connection between our own processes failed."),

    INVARIANT_VIOLATED(900, 500, Outcome.NOT_A_REQUEST, "An assertion inside the program failed.");

    private final int number;
    private final int httpStatus;
    private final Outcome outcome;
    private final String meaning;

    ResultCode(int number, int httpStatus, Outcome outcome, String meaning) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.outcome = outcome;
        this.meaning = meaning;
    }

    /** Returns the number that is sent to callers and printed by commands. */
    public int number() {
        return number;
    }

    /** Returns the HTTP status of a response made by carawaylift itself with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether the request ran, as far as the caller can know. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns a description of one sentence for operators and callers. */
    public String meaning() {
        return meaning;
    }

    /** Returns the code with the given number, or empty if there is none. */
    public static Optional<ResultCode> ofNumber(int number) {
        for (ResultCode code : values()) {
            if (code.number == number) {
                return Optional.of(code);
            }
        }
        return Optional.empty();
    }
}
