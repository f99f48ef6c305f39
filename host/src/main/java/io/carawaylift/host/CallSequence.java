package io.carawaylift.host;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;

/**
 * The calls to the store for one kind, one after the other. After {@link #resume} there is always a call in flight, a
 * pause or a retry that goes on with the next call, also if a step of it throws. Used on the event loop
 * only.
 */
final class CallSequence {
    private static final double NANOS_PER_SECOND = 1e9;

    private final HostLoop loop;
    private final StoreRetries retries;
    private final Runnable next;
    private HostLoop.Timer pause = () -> {};
    private HostLoop.Timer timeout = () -> {};
    private CompletableFuture<?> response = CompletableFuture.completedFuture(null);
    private long callNumber;
    private boolean inFlight;
    private long sentNanos;
    private boolean stopped;

    /** Creates a sequence; {@code next} sends the next call or pauses. */
    CallSequence(HostLoop loop, StoreRetries retries, Runnable next) {
        this.loop = loop;
        this.retries = retries;
        this.next = next;
    }

    /** Gives up the call in flight or ends the pause, and goes on with the next call. */
    void resume() {
        pause.cancel();
        abandon();
        if (!stopped) {
            guard(next);
        }
    }

    /** Ends the sequence; the handler of a call in flight does not run. */
    void stop() {
        stopped = true;
        resume();
    }

    /** Gives up the call in flight; its connection ends, since it may never carry a response again. */
    private void abandon() {
        timeout.cancel();
        inFlight = false;
        callNumber++;
        response.cancel(false);
    }

    /**
     * Handles the response to a call that was sent just now, unless the call is given up before.
     *
     * @param maxWait time after which the call fails with a {@link TimeoutException}
     */
    <T> void await(CompletableFuture<T> newResponse, Duration maxWait, BiConsumer<T, Throwable> handler) {
        long number = ++callNumber;
        response = newResponse;
        inFlight = true;
        sentNanos = System.nanoTime();
        timeout = loop.after(
                maxWait.toMillis(),
                () -> newResponse.completeExceptionally(
                        new TimeoutException("no response of the store within " + maxWait.toMillis() + " ms")));
        loop.handle(newResponse, (value, failure) -> {
            if (number != callNumber) {
                return;
            }
            timeout.cancel();
            inFlight = false;
            guard(() -> handler.accept(value, failure));
        });
    }

    /** Runs an action that goes on with the next call, and goes on without it if it throws. */
    private void guard(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error e) {
            loop.logFault(e);
            retry();
        }
    }

    /** Goes on after a delay in milliseconds. */
    void pause(long millis) {
        pause.cancel();
        pause = loop.after(millis, this::resume);
    }

    /** Goes on when the store may be reachable again. */
    void retry() {
        retries.retryLater(this::resume);
    }

    /** Returns whether there is a call in flight that was sent before the given time of {@link System#nanoTime}. */
    boolean isWaitingSince(long nanos) {
        return inFlight && sentNanos - nanos < 0;
    }

    /** Returns the time in seconds since the call in flight was sent, 0 if there is none. */
    double callAgeSeconds() {
        return inFlight ? (System.nanoTime() - sentNanos) / NANOS_PER_SECOND : 0;
    }

    /** Returns the time in milliseconds since the last call was sent. */
    long millisSinceSent() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    }
}
