/** The ledger of at-most-once requests: which tickets may run, and the results of those that ran. */
package io.carawaylift.decisions.once;
