package io.carawaylift.host;

/**
 * Describes why a request got no complete response.
 *
 * @param mayHaveRun whether the peer may have received any byte of the request
 */
record OutboundFailure(boolean mayHaveRun, String reason) {}
