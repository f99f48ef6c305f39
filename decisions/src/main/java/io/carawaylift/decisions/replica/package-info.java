/** Replicated records and objects with versions, their digests and line-based deltas. */
package io.carawaylift.decisions.replica;
