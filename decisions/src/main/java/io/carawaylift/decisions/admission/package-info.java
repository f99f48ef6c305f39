/** Queues by rank and customer in front of a limited number of slots, and the health of endpoints. */
package io.carawaylift.decisions.admission;
