package io.carawaylift.decisions.route;

/** Kind of the requests of a route; decides whether they may be retried. */
public enum RequestKind {
    /** Idempotent, with small responses. */
    SAFE,
    /** Not idempotent: runs at most once for each attempt of a caller. */
    UNSAFE,
    /** Idempotent, with large responses. */
    DOWNLOAD;

    /** Returns whether a request may be retried after it may have run. */
    public boolean idempotent() {
        return this != UNSAFE;
    }
}
