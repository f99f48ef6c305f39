/** The operators' command {@code carawaylift}. */
package io.carawaylift.cli;
