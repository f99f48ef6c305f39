/** Test doubles of the users' store, endpoints and callers, which speak the published protocols over real sockets. */
package io.carawaylift.standin;
