package io.carawaylift.model;

/** Fraction of an endpoint's slots that its owner may use. */
public enum OwnershipMode {
    /** All slots: the previous owner has released the endpoint or is confirmed to have terminated. */
    FULL,
    /** Half of the slots, rounded down: the previous owner may still be running. */
    HALF
}
