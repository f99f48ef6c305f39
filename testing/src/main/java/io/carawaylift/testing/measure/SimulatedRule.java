package io.carawaylift.testing.measure;

/** A rule of the lease protocol that a run can switch off, to show that the run finds the fault. */
enum SimulatedRule {
    /** A process that took over waits before its first dispatch. */
    WAIT_AFTER_TAKEOVER,
    /** A platform confirmation carries versions of {@code owners/} read after the heartbeat was sent. */
    OWNERS_READ_AFTER_WRITE,
    /** A release is valid for one epoch only. */
    EPOCH_OF_RELEASE,
    /** An acknowledgement is passed on only if its versions are known. */
    VERSIONS_OF_ACKNOWLEDGEMENT,
    /** A successor promises nothing while its update is unresolved. */
    NO_PROMISE_WHILE_UNRESOLVED,
    /** A new owner waits for an earlier owner that was replaced twice. */
    WAIT_FOR_FORGOTTEN_OWNERS,
    /** A process that lost an endpoint by a takeover reports when it has stopped. */
    RELEASE_BY_EARLIER_OWNER
}
