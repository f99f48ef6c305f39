package io.carawaylift.entry;

/** Handles requests. Called on the server's IO threads, so it must not block. */
interface RequestHandler {
    void handle(RawRequest request, CallerResponse response);
}
