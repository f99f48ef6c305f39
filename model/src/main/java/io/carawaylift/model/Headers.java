package io.carawaylift.model;

/** Names of the HTTP headers of the request path. */
public final class Headers {
    /** Rank label of the request; the service's rank if absent. */
    public static final String RANK = "Carawaylift-Rank";

    /** Name of the customer on whose behalf the caller acts. */
    public static final String CUSTOMER = "Carawaylift-Customer";

    /** Ticket of a once-only request, see {@link Ticket}. */
    public static final String TICKET = "Carawaylift-Ticket";

    /** Time left for the request in milliseconds; relative, so that no two clocks are compared. */
    public static final String DEADLINE_MS = "Carawaylift-Deadline-Ms";

    /** Id under which the request can be explained. */
    public static final String REQUEST_ID = "Carawaylift-Request-Id";

    /** Upstream chosen by the entry process; set between entry process and owner. */
    public static final String UPSTREAM = "Carawaylift-Upstream";

    /** Number of entry processes passed so far; set between entry processes. */
    public static final String HOP = "Carawaylift-Hop";

    /** Region of the sending entry process; set between entry processes, which pace what they send to other regions. */
    public static final String FROM_REGION = "Carawaylift-From-Region";

    /** Number of the attempt at this request, 1 for the first; set between entry processes. */
    public static final String ATTEMPT = "Carawaylift-Attempt";

    /** Id of the endpoint that answered; set between entry processes. */
    public static final String ENDPOINT = "Carawaylift-Endpoint";

    /** Result code number on every answer. */
    public static final String CODE = "Carawaylift-Code";

    /** Detail of a result made by carawaylift itself. */
    public static final String DETAIL = "Carawaylift-Detail";

    /** Set to {@code true} by an upstream that refused a request before running it. */
    public static final String NOT_RUN = "Carawaylift-Not-Run";

    private Headers() {}
}
