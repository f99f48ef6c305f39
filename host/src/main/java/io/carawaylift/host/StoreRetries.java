package io.carawaylift.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;

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
    private final List<LongConsumer> recoveryActions = new ArrayList<>();
    private long retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
    private boolean scheduled;
    private boolean unreachable;
    private boolean unanswered;
    private long reachableSinceNanos;

    StoreRetries(HostLoop loop) {
        this.loop = loop;
        this.reachableSinceNanos = System.nanoTime();
    }

    /**
     * Adds an action for the first success after a call that got no response. It receives the time of that success in
     * the terms of {@link System#nanoTime}; calls that were sent earlier may get no response either.
     */
    void onRecovery(LongConsumer action) {
        recoveryActions.add(action);
    }

    /** Records that a call got no response, not even a refusal. */
    void unanswered() {
        unanswered = true;
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
        if (unanswered) {
            unanswered = false;
            long reachableNanos = System.nanoTime();
            recoveryActions.forEach(action -> loop.execute(() -> action.accept(reachableNanos)));
        }
    }

    /** Returns the milliseconds since the store became reachable, 0 while it is unreachable. */
    long millisSinceReachable() {
        return unreachable ? 0 : (System.nanoTime() - reachableSinceNanos) / 1_000_000;
    }

    /** Returns what is left of a time in milliseconds that begins when the store becomes reachable, at least 0. */
    long remainingMillis(long millis) {
        return Math.max(0, millis - millisSinceReachable());
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
