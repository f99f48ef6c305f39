/** Checks of the syntax of HTTP/1 messages that are stricter than those of the decoders. Without decisions or state of the host. */
package io.carawaylift.host.http;
