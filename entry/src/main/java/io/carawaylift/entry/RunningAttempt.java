package io.carawaylift.entry;

/** An attempt that waits or runs. Thread-safe. */
interface RunningAttempt {
    /** Cancels the attempt wherever it is; its result may still arrive. */
    void cancel();

    /** Cancels the attempt only if nothing was sent; its result is then "not run". */
    void cancelQueued();

    /** Returns how long the request waited in the queue of this process, in nanoseconds; 0 while it waits. */
    long waitNanos();
}
