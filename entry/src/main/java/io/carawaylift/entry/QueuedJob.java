package io.carawaylift.entry;

import io.carawaylift.decisions.admission.Work;
import io.carawaylift.entry.AttemptResult.Refused;

/** A request in a queue shard, from its submission to its result. Fields are guarded by the shard's lock. */
final class QueuedJob implements RunningAttempt {
    private final InboundRequest request;
    private final ResultReceiver receiver;
    private final QueueShard shard;
    private final long submittedNanos;
    private final Work<QueuedJob> work;

    private OutboundCall call;
    private boolean cancelled;
    private String target = "";
    private volatile long waitNanos;

    QueuedJob(long number, InboundRequest request, ResultReceiver receiver, QueueShard shard, long nowNanos) {
        this.request = request;
        this.receiver = receiver;
        this.shard = shard;
        this.submittedNanos = nowNanos;
        this.work = new Work<>(number, request.rank(), request.customer(), request.deadlineNanos(), this);
    }

    InboundRequest request() {
        return request;
    }

    Work<QueuedJob> work() {
        return work;
    }

    /** Delivers the result; must be called without the shard's lock. */
    void accept(AttemptResult result) {
        receiver.accept(result);
    }

    void refuse(Refused refused) {
        receiver.accept(refused);
    }

    @Override
    public void cancel() {
        shard.cancel(this);
    }

    @Override
    public void cancelQueued() {
        shard.cancelQueued(this);
    }

    /** Records that the job was taken from the queue for {@code endpointOrOwner}. */
    void dispatchedTo(String endpointOrOwner, long nowNanos) {
        target = endpointOrOwner;
        waitNanos = nowNanos - submittedNanos;
    }

    String target() {
        return target;
    }

    @Override
    public long waitNanos() {
        return waitNanos;
    }

    void markCancelled() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }

    void call(OutboundCall started) {
        call = started;
    }

    OutboundCall call() {
        return call;
    }
}
