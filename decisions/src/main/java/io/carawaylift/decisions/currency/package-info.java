/** Decides which views of the store are up to date and when the store must be read again. */
package io.carawaylift.decisions.currency;
