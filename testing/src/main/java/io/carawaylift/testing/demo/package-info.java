/** Demonstration that starts sites of real processes and measures them step by step. */
package io.carawaylift.testing.demo;
