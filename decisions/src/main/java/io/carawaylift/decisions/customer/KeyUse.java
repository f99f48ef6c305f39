package io.carawaylift.decisions.customer;

/** What a configuration demands of the keys of requests on routes that are not public. */
public enum KeyUse {
    /** The configuration has no table of customers: keys are ignored. */
    IGNORED,
    /** The configuration has a table of customers, even if it is empty: each request needs a key that is in it. */
    REQUIRED,
    /**
     * The table was removed, and with it every key that it held: a request with a key does not run, one without a key needs
     * none.
     */
    WITHDRAWN
}
