package io.carawaylift.decisions.admission;

import io.carawaylift.model.ResultCode;

/**
 * Reason why work was not admitted. The work did not run.
 *
 * @param retryAfterMs estimated time until the same work would be admitted, in milliseconds
 */
public record Refusal(ResultCode code, long retryAfterMs) {}
