package io.carawaylift.entry;

/** Handles requests; called on threads of the server, so it must not block. */
interface RequestHandler {
    void handle(RawRequest request, CallerResponse response);
}
