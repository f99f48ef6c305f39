package io.carawaylift.testing.measure;

/** Decides where and when requests run; called by the {@link Simulation}. */
interface Policy {
    /** Returns the name printed in the table. */
    String name();

    /** Takes a request that arrives now. */
    void arrived(Request request, Simulation simulation);

    /** Learns that a request finished at an endpoint. */
    void finished(Request request, int endpoint, Simulation simulation);

    /** Returns how many requests wait, at us or at upstreams. */
    int waiting();
}
