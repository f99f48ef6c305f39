/** Measurements of the decisions: admission in virtual time and the address map in real time. */
package io.carawaylift.testing.measure;
