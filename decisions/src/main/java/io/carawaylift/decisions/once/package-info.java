/** The ledger of once-only requests. */
package io.carawaylift.decisions.once;
