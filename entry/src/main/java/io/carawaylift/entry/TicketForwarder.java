package io.carawaylift.entry;

import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.entry.AttemptResult.Unknown;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.ResultCode;
import io.netty.util.HashedWheelTimer;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Forwards an at-most-once request to the process that its ticket names. Only that process knows whether an earlier
 * attempt ran, so a request that does not reach it ends as unknown and never as not run. Thread-safe.
 */
final class TicketForwarder {
    private static final long RETRY_DELAY_MILLIS = 100;

    private final QueueShards queueShards;
    private final HashedWheelTimer timer;
    private final LongSupplier clock;

    TicketForwarder(QueueShards queueShards, HashedWheelTimer timer, LongSupplier clock) {
        this.queueShards = queueShards;
        this.timer = timer;
        this.clock = clock;
    }

    /** Forwards the request; returns the action to run when the caller disconnects. */
    Runnable forward(EntryProcess process, InboundRequest request, RequestTrace trace, ResultReceiver receiver) {
        Forwarding forwarding = new Forwarding(process, request, trace, receiver);
        forwarding.send();
        return forwarding::cancel;
    }

    private final class Forwarding {
        private final EntryProcess process;
        private final InboundRequest request;
        private final RequestTrace trace;
        private final ResultReceiver receiver;
        private RunningAttempt running = FinishedAttempt.INSTANCE;
        private boolean cancelled;

        Forwarding(EntryProcess process, InboundRequest request, RequestTrace trace, ResultReceiver receiver) {
            this.process = process;
            this.request = request;
            this.trace = trace;
            this.receiver = receiver;
        }

        void send() {
            RunningAttempt submitted = queueShards.forwardByTicket(process, request, this::attemptEnded);
            synchronized (this) {
                running = submitted;
                if (!cancelled) {
                    return;
                }
            }
            submitted.cancel();
        }

        /**
         * Cancels the forwarding. The named process keeps running the request; a later attempt receives its outcome.
         */
        void cancel() {
            RunningAttempt current;
            synchronized (this) {
                cancelled = true;
                current = running;
            }
            current.cancel();
        }

        private void attemptEnded(AttemptResult result) {
            long waited;
            synchronized (this) {
                waited = running.waitNanos();
            }
            trace.addAttempt(new OwnerRoute("", process), waited, result);
            if (result instanceof Refused refused && !refused.fromPeer()) {
                retryOrFail(refused);
            } else {
                receiver.accept(result);
            }
        }

        private void retryOrFail(Refused refused) {
            long retryAt = clock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLIS);
            boolean retry;
            synchronized (this) {
                retry = !cancelled && refused.code() == ResultCode.CONNECT_FAILED && retryAt < request.deadlineNanos();
            }
            if (retry) {
                timer.newTimeout(timeout -> send(), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            String detail = "process " + process + " was not reached: " + refused.code() + " " + refused.detail();
            receiver.accept(new Unknown(ResultCode.ENTRY_GONE, detail));
        }
    }
}
