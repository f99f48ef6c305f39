package io.carawaylift.model;

import java.util.Objects;

/**
 * Statement by an entry process that it stopped dispatching to an endpoint and has no requests in flight there.
 *
 * @param endpoint endpoint id
 * @param epoch epoch of the ownership that is released; the release does not apply to later epochs
 */
public record Release(String endpoint, long epoch) {
    public Release {
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
