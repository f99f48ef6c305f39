/** Randomized simulations with seeds, and measurements, of the decisions. */
package io.carawaylift.testing.measure;
