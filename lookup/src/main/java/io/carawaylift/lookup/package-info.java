/** The lookup program, which returns the entry hosts that a caller should use. */
package io.carawaylift.lookup;
