package io.carawaylift.decisions.route;

/** What may be repeated about the requests of a route. */
public enum RequestKind {
    /** Idempotent, small answers. */
    SAFE,
    /** Runs at most once for each attempt of a caller. */
    UNSAFE,
    /** Idempotent, large answers. */
    DOWNLOAD;

    /** Returns whether a request may be sent again after it may have run. */
    public boolean idempotent() {
        return this != UNSAFE;
    }
}
