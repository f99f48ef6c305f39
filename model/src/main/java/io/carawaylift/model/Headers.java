package io.carawaylift.model;

/** Names of the HTTP headers of requests and responses. */
public final class Headers {
    /** Label of the request's {@link Rank}; the service's rank applies if absent. */
    public static final String RANK = "Carawaylift-Rank";

    /** Name of the customer on whose behalf the caller acts. */
    public static final String CUSTOMER = "Carawaylift-Customer";

    /** {@link Ticket} of an at-most-once request. */
    public static final String TICKET = "Carawaylift-Ticket";

    /** Remaining time of the request in milliseconds. Relative, so that the clocks of two hosts are never compared. */
    public static final String DEADLINE_MS = "Carawaylift-Deadline-Ms";

    /** Id of the request, by which operators can look up how it was handled. */
    public static final String REQUEST_ID = "Carawaylift-Request-Id";

    /** Upstream chosen by the entry process; set on requests from an entry process to the owner. */
    public static final String UPSTREAM = "Carawaylift-Upstream";

    /** Number of entry processes that the request has passed; set between entry processes. */
    public static final String HOP = "Carawaylift-Hop";

    /**
     * Region of the sending entry process; set between entry processes, which limit the rate of traffic to other
     * regions.
     */
    public static final String FROM_REGION = "Carawaylift-From-Region";

    /** Number of the attempt, 1 for the first; set between entry processes. */
    public static final String ATTEMPT = "Carawaylift-Attempt";

    /** Id of the endpoint that responded; set between entry processes. */
    public static final String ENDPOINT = "Carawaylift-Endpoint";

    /** Number of the {@link ResultCode}; set on every response. */
    public static final String CODE = "Carawaylift-Code";

    /** Detail of a result code, on responses made by carawaylift itself. */
    public static final String DETAIL = "Carawaylift-Detail";

    /** Set to {@code true} by an upstream that rejected a request before running it. */
    public static final String NOT_RUN = "Carawaylift-Not-Run";

    private Headers() {}
}
