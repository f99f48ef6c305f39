/** A host's view of the endpoints, and the decisions which endpoint gets a request and when none does. */
package io.carawaylift.decisions.fleet;
