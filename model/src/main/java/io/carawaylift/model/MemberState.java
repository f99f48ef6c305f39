package io.carawaylift.model;

/** State of an entry process in the records of its failure domain. */
public enum MemberState {
    /** Started, but gets no endpoints and no share of a link's capacity yet. */
    JOINING,
    /** Accepts requests, and may own endpoints. */
    ACTIVE,
    /**
     * Sent no heartbeat for one lease, but is not confirmed to have terminated and may still be running. Not named in
     * lookup responses.
     */
    SUSPECTED,
    /**
     * Stopping: still serves requests that callers send, releases its endpoints, and is not named in lookup responses.
     */
    LEAVING
}
