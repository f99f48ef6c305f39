package io.carawaylift.decisions.currency;

import java.time.Duration;
import java.util.Collection;

/**
 * Chooses the waits of a relay's watches so that their responses are spread over time. The relay thus notices within a
 * bounded time that it no longer reaches the store, at no more calls than the waits cost anyway. Immutable.
 */
public final class WatchSpacing {
    private final CurrencyTimes times;

    /** Creates a spacing with the given durations. */
    public WatchSpacing(CurrencyTimes times) {
        this.times = times;
    }

    /**
     * Returns the wait of a watch that is sent now: half of the longest one if no other response is due soon, so that
     * chains that run in step are moved apart.
     */
    public Duration waitOf(long now, Collection<CallChain> others) {
        long gapNanos = times.maxResponseGap().toNanos();
        for (CallChain other : others) {
            if (other.expectedNanos().isPresent() && other.expectedNanos().getAsLong() - now <= gapNanos) {
                return times.watchWait();
            }
        }
        Duration half = times.watchWait().dividedBy(2);
        return half.compareTo(times.maxResponseGap()) < 0 ? half : times.maxResponseGap();
    }
}
