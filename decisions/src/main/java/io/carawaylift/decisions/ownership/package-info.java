/** Leases on endpoints, and the planning of their owners and successors. */
package io.carawaylift.decisions.ownership;
