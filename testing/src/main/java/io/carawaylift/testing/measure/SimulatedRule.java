package io.carawaylift.testing.measure;

/** A rule of the lease protocol that a run can disable to verify that it detects the resulting violation. */
enum SimulatedRule {
    /** A process that took over an endpoint waits before its first dispatch. */
    WAIT_AFTER_TAKEOVER,
    /**
     * A confirmation by the platform carries the versions of {@code owners/} that were read after the heartbeat was
     * sent.
     */
    OWNERS_READ_AFTER_WRITE,
    /** A release is valid for one epoch only. */
    EPOCH_OF_RELEASE,
    /** An acknowledgement is passed on only if the versions in it are known. */
    VERSIONS_OF_ACKNOWLEDGEMENT,
    /** A successor does not acknowledge heartbeats while the result of its own update is unknown. */
    NO_PROMISE_WHILE_UNRESOLVED,
    /** A new owner waits for an earlier owner that was replaced twice. */
    WAIT_FOR_FORGOTTEN_OWNERS,
    /** A process that lost an endpoint to a takeover reports when it no longer uses the endpoint. */
    RELEASE_BY_EARLIER_OWNER
}
