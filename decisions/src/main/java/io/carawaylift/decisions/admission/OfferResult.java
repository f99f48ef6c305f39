package io.carawaylift.decisions.admission;

import java.util.Optional;

/**
 * Result of {@link AdmissionQueue#offer}.
 *
 * @param refusal present if the work was refused and is not in the queue
 * @param displaced work that was removed from the full queue in favour of the new work; the caller refuses it as
 *     {@link io.carawaylift.model.ResultCode#DISPLACED}
 */
public record OfferResult<T>(Optional<Refusal> refusal, Optional<Work<T>> displaced) {}
