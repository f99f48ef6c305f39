package io.carawaylift.entry;

/** The slots that a queue shard fills. Called under the shard's lock, except where stated. */
interface SlotSource {
    /** Returns how many more requests may be sent now. */
    int freeSlots(long nowNanos);

    /** Takes a slot for a job; called only while {@link #freeSlots} is positive. */
    void claim(QueuedJob job, long nowNanos);

    /**
     * Updates the health of the target from the result of a job; {@code healthy} is false if reading the body failed.
     */
    void recordOutcome(QueuedJob job, AttemptResult result, boolean healthy, long nowNanos);

    /**
     * Returns until when the job's slot counts as used: {@code nowNanos} if the job has certainly ended, later if it
     * may still run at the other side.
     *
     * @param fullyRead whether the response was read to its end
     */
    long busyUntilNanos(QueuedJob job, AttemptResult result, boolean fullyRead, long nowNanos);

    /** Releases the job's slot. */
    void release(QueuedJob job, long nowNanos);

    /** Sends the job's request; called without the lock. */
    OutboundCall send(QueuedJob job, ResultReceiver receiver);
}
