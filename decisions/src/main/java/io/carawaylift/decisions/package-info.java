/** Decision logic without threads, clocks, sockets or randomness of its own. */
package io.carawaylift.decisions;
