/** Stand-ins for the users' store, endpoints and callers, which speak the published protocol byte by byte. */
package io.carawaylift.standin;
