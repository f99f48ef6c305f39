package io.carawaylift.testing.measure;

import io.carawaylift.model.Rank;
import java.util.Optional;

/** Load during the measured interval. */
enum Scenario {
    NORMAL(null),
    DEFERRABLE_FLOOD(Rank.DEFERRABLE),
    URGENT_FLOOD(Rank.URGENT);

    /** Rate of the flood as a multiple of the capacity. */
    static final double FLOOD_FACTOR = 10;

    private final Rank flooded;

    Scenario(Rank flooded) {
        this.flooded = flooded;
    }

    /** Returns the rank of the flood, or empty if there is none. */
    Optional<Rank> flooded() {
        return Optional.ofNullable(flooded);
    }
}
