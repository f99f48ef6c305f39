package io.carawaylift.model;

import java.util.Objects;

/**
 * States that a process stopped dispatching to an endpoint and has nothing in flight there.
 *
 * @param endpoint endpoint id
 * @param epoch epoch of the ownership entry under which the process stopped; a statement about an earlier epoch says
 *     nothing about the present one
 */
public record Release(String endpoint, long epoch) {
    public Release {
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
