/** Randomized fault-injection runs of real host programs, checked by what callers and endpoints observe. */
package io.carawaylift.soak;
