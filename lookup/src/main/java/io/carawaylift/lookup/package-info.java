/** The program that tells callers which entry host to use. */
package io.carawaylift.lookup;
