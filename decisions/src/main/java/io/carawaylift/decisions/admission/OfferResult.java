package io.carawaylift.decisions.admission;

import java.util.Optional;

/**
 * Result of offering work to a queue.
 *
 * @param refusal present if the work was refused; it is not in the queue then
 * @param displaced work that was removed from the queue to make room and must be refused as
 *     {@link io.carawaylift.model.ResultCode#DISPLACED}
 */
public record OfferResult<T>(Optional<Refusal> refusal, Optional<Work<T>> displaced) {}
