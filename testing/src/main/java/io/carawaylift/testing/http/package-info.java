/** A small HTTP server whose handlers see connections close and may break answers on purpose. */
package io.carawaylift.testing.http;
