/** Leases on endpoints and the planning of their owners. */
package io.carawaylift.decisions.ownership;
