/** Command-line tool {@code carawaylift} for operators. */
package io.carawaylift.cli;
