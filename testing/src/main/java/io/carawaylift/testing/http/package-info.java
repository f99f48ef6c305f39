/** A small HTTP server for tests whose handlers are notified of closed connections and can abort responses. */
package io.carawaylift.testing.http;
