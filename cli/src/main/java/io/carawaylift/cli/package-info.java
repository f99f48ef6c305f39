/** Placeholder. */
package io.carawaylift.cli;
