/** The ledger of once-only requests: which tickets may run, and what became of those that did. */
package io.carawaylift.decisions.once;
