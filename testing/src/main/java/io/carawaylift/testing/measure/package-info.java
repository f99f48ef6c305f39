/** Seeded randomised runs and measurements of the decisions. */
package io.carawaylift.testing.measure;
