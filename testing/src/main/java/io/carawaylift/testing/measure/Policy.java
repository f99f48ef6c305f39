package io.carawaylift.testing.measure;

/** Admission policy under test: decides where and when requests run. Called by {@link Simulation}. */
interface Policy {
    /** Returns the name that the report shows. */
    String name();

    /** Handles a request that arrives now. */
    void arrived(Request request, Simulation simulation);

    /** Handles the completion of a request at an endpoint. */
    void finished(Request request, int endpoint, Simulation simulation);

    /** Returns the number of requests that wait in any queue, including those of upstreams. */
    int waiting();
}
