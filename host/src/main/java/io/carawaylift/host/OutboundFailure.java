package io.carawaylift.host;

/**
 * Why a request got no complete answer.
 *
 * @param mayHaveRun whether a byte of the request may have reached the other side
 */
record OutboundFailure(boolean mayHaveRun, String reason) {}
