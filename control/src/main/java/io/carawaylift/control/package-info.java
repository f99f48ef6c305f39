/** Placeholder. */
package io.carawaylift.control;
