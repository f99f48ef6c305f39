/** Placeholder. */
package io.carawaylift.entry;
