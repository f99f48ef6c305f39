/**
 * The program of an entry host on the users' platform: serves lookups, forwards requests and maintains its view of the
 * configuration, the endpoints and the other hosts. All state belongs to one event loop.
 */
package io.carawaylift.host;
