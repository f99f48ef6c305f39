package io.carawaylift.loadmodel;

/** What the hosts do; everything but {@link #PRODUCT} is a baseline. */
public enum LoadPolicy {
    /** The decisions of the product. */
    PRODUCT,
    /** Requests for an object go to any endpoint. */
    WITHOUT_AFFINITY,
    /** Cold endpoints get half of the rate that they tolerate, and everything as soon as they are warm. */
    FIXED_PACE
}
