/**
 * The one program of an entry host on the users' platform: answers look-ups, forwards requests and keeps what it believes of
 * the configuration, the endpoints and the other hosts up to date. All state belongs to one event loop.
 */
package io.carawaylift.host;
