/** A randomized run of real host programs under faults from outside, checked from what callers and endpoints see. */
package io.carawaylift.soak;
