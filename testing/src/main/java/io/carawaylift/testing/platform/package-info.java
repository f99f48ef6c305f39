/** The users' object API in memory, with faults on demand. */
package io.carawaylift.testing.platform;
