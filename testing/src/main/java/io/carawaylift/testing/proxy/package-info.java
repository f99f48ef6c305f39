/** A TCP proxy that delays, throttles, resets, mutes or freezes the connections between two processes. */
package io.carawaylift.testing.proxy;
