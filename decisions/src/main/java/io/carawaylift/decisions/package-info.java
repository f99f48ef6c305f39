/** Decision logic that uses no threads, clocks, sockets or randomness of its own; callers pass in times and seeds. */
package io.carawaylift.decisions;
