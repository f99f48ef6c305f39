package io.carawaylift.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Repeats calls that failed because the store was away. One of them at a time probes the store, since every call has a price;
 * when any call succeeds, all that wait are repeated at once. Used on the event loop only.
 */
final class StoreRetries {
    private static final long FIRST_PAUSE_MILLIS = 100;

    /** The return of the store must be noticed well within the time in which operators expect changes to be in force. */
    private static final long LONGEST_PAUSE_MILLIS = 400;

    private final HostLoop loop;
    private final SplittableRandom random = new SplittableRandom();
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean scheduled;
    private boolean away;
    private long returnedNanos;

    StoreRetries(HostLoop loop) {
        this.loop = loop;
        this.returnedNanos = System.nanoTime();
    }

    /** Repeats a failed call when the store may have returned. */
    void retryLater(Runnable call) {
        away = true;
        waiting.addLast(call);
        schedule();
    }

    /** Records that a call succeeded. */
    void succeeded() {
        pauseMillis = FIRST_PAUSE_MILLIS;
        if (away) {
            away = false;
            returnedNanos = System.nanoTime();
        }
        List<Runnable> all = new ArrayList<>(waiting);
        waiting.clear();
        all.forEach(loop::execute);
    }

    /** Returns the milliseconds since the store was first reached again after it was away. */
    long millisSinceReturn() {
        return away ? 0 : (System.nanoTime() - returnedNanos) / 1_000_000;
    }

    private void schedule() {
        if (scheduled) {
            return;
        }
        scheduled = true;
        long pause = pauseMillis / 2 + random.nextLong(pauseMillis);
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
        loop.after(pause, this::probe);
    }

    private void probe() {
        scheduled = false;
        Runnable call = waiting.pollFirst();
        if (call == null) {
            return;
        }
        call.run();
        if (!waiting.isEmpty()) {
            schedule();
        }
    }
}
