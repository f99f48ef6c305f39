package io.carawaylift.entry;

/** The slots behind a queue shard. All calls are made under the shard's lock, except where stated. */
interface SlotSource {
    /** Returns how many more requests may be sent now. */
    int free(long nowNanos);

    /** Takes a slot for a job; called only while {@link #free} is positive. */
    void claim(QueuedJob job, long nowNanos);

    /** Returns a slot. */
    void release(QueuedJob job, AttemptResult result, boolean complete, long nowNanos);

    /** Sends the job's request; called without the lock. */
    OutboundCall send(QueuedJob job, ResultReceiver receiver);
}
