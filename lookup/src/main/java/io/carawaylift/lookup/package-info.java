/** Placeholder. */
package io.carawaylift.lookup;
