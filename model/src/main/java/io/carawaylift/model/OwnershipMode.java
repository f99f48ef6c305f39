package io.carawaylift.model;

/** How many of an endpoint's slots its owner may use. */
public enum OwnershipMode {
    /** All slots: the previous owner is confirmed gone or has released the endpoint. */
    FULL,
    /** Half of the slots, rounded down: the previous owner may still be running. */
    HALF
}
