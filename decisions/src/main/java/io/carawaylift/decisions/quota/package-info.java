/** Limits the requests of customers over all hosts together, from counts that the hosts exchange. */
package io.carawaylift.decisions.quota;
