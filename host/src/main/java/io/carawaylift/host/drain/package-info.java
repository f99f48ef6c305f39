/** The phases of a planned stop, in which requests in progress are completed. */
package io.carawaylift.host.drain;
