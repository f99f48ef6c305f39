/** Liveness of the entry processes of a failure domain, and the choice of those that report and watch. */
package io.carawaylift.decisions.membership;
