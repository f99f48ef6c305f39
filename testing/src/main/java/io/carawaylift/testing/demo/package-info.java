/** Starts whole sites of real processes and measures them step by step. */
package io.carawaylift.testing.demo;
