/** Simulates upstream endpoints with service times, run counts and injectable faults. */
package io.carawaylift.testing.upstream;
