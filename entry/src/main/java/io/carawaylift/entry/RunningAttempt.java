package io.carawaylift.entry;

/** An attempt that is queued or in flight. Thread-safe. */
interface RunningAttempt {
    /** Cancels the attempt whether queued or in flight; its result may still arrive. */
    void cancel();

    /** Cancels the attempt only if it is still queued; its result is then "not run". */
    void cancelQueued();

    /** Returns the queue wait in this process in nanoseconds; 0 while the attempt is queued. */
    long waitNanos();
}
