package io.carawaylift.model;

/** State of an entry process as its host reports it. */
public enum MemberState {
    /** Started, gets no endpoints and no part of a link yet. */
    JOINING,
    /** Takes requests and may own endpoints. */
    ACTIVE,
    /** No heartbeat for one lease, but not confirmed gone: it may still run, and look-up answers do not name it. */
    SUSPECTED,
    /** Stopping: serves what callers still send, gives its endpoints away, is not named in look-up answers. */
    LEAVING
}
