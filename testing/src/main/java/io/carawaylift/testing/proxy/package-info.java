/** A TCP proxy between any two processes that delays, limits, cuts, mutes or freezes connections. */
package io.carawaylift.testing.proxy;
