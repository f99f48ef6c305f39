/** Simulates the users' object API in memory, with injectable faults. */
package io.carawaylift.testing.platform;
