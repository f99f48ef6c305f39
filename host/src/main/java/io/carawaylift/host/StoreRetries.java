package io.carawaylift.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Retries calls that failed because the store was unreachable. A single call at a time probes the store, since each
 * call has a cost; when any call succeeds, all waiting calls are retried at once. Used on the event loop only.
 */
final class StoreRetries {
    private static final long INITIAL_RETRY_DELAY_MILLIS = 100;

    /**
     * Short, so that a reachable store is detected well within the time in which operators expect changes to be in
     * force.
     */
    private static final long MAX_RETRY_DELAY_MILLIS = 400;

    private final HostLoop loop;
    private final SplittableRandom random = new SplittableRandom();
    private final Deque<Runnable> waitingCalls = new ArrayDeque<>();
    private long retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
    private boolean scheduled;
    private boolean unreachable;
    private long reachableSinceNanos;

    StoreRetries(HostLoop loop) {
        this.loop = loop;
        this.reachableSinceNanos = System.nanoTime();
    }

    /** Retries a failed call when the store may be reachable again. */
    void retryLater(Runnable call) {
        unreachable = true;
        waitingCalls.addLast(call);
        schedule();
    }

    /** Records a successful call and retries all waiting calls. */
    void succeeded() {
        retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
        if (unreachable) {
            unreachable = false;
            reachableSinceNanos = System.nanoTime();
        }
        List<Runnable> all = new ArrayList<>(waitingCalls);
        waitingCalls.clear();
        all.forEach(loop::execute);
    }

    /** Returns the milliseconds since the store became reachable, 0 while it is unreachable. */
    long millisSinceReachable() {
        return unreachable ? 0 : (System.nanoTime() - reachableSinceNanos) / 1_000_000;
    }

    private void schedule() {
        if (scheduled) {
            return;
        }
        scheduled = true;
        long delay = retryDelayMillis / 2 + random.nextLong(retryDelayMillis);
        retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, 2 * retryDelayMillis);
        loop.after(delay, this::probe);
    }

    private void probe() {
        scheduled = false;
        Runnable call = waitingCalls.pollFirst();
        if (call == null) {
            return;
        }
        call.run();
        if (!waitingCalls.isEmpty()) {
            schedule();
        }
    }
}
