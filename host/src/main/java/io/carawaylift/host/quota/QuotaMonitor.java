package io.carawaylift.host.quota;

/** Receives what an operator is told about quotas. Called on the event loop. */
public interface QuotaMonitor {
    /** A request of a limited customer was admitted or refused. */
    void decided(String customer, boolean admitted);

    /**
     * This host has no recent counts of the other hosts, or has them again.
     *
     * @param known whether it has them
     */
    void countsKnown(boolean known);
}
