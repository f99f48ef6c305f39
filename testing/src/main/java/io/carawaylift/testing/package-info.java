/** Placeholder. */
package io.carawaylift.testing;
