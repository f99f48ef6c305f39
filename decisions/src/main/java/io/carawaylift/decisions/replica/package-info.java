/** Versioned records, their digests and their line deltas. */
package io.carawaylift.decisions.replica;
