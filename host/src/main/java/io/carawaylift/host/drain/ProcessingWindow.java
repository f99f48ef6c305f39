package io.carawaylift.host.drain;

/**
 * How long a host still processes requests: without an end until a drain sets one. Used on the event loop only. Times
 * are monotonic nanoseconds.
 */
public final class ProcessingWindow {
    private boolean accepting = true;
    private boolean ending;
    private long endNanos;

    /** Creates a window without an end. */
    public ProcessingWindow() {}

    /** Sets the time from which on no response of an endpoint is awaited any more. */
    void endAt(long nanos) {
        ending = true;
        endNanos = nanos;
    }

    /** Ends the time in which new requests are passed on. */
    void stopAccepting() {
        accepting = false;
    }

    /** Returns whether new requests are passed on; others are refused. */
    public boolean isAccepting() {
        return accepting;
    }

    /** Returns whether the host is stopping. */
    public boolean isEnding() {
        return ending;
    }

    /** Returns the nanoseconds left for the processing of requests, {@link Long#MAX_VALUE} if there is no end. */
    public long remainingNanos(long nowNanos) {
        return ending ? endNanos - nowNanos : Long.MAX_VALUE;
    }
}
