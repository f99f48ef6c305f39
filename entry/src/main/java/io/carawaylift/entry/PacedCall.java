package io.carawaylift.entry;

import java.util.function.Supplier;

/** A call that starts when the link has budget and can be cancelled before. Thread-safe. */
final class PacedCall implements OutboundCall {
    private final Supplier<OutboundCall> start;
    private final Runnable onCancelledUnsent;
    private OutboundCall started;
    private boolean cancelled;

    /** Creates a call that runs exactly one of {@code start} and {@code onCancelledUnsent}. */
    PacedCall(Supplier<OutboundCall> start, Runnable onCancelledUnsent) {
        this.start = start;
        this.onCancelledUnsent = onCancelledUnsent;
    }

    void begin() {
        synchronized (this) {
            if (cancelled) {
                return;
            }
            started = ENDED;
        }
        OutboundCall call = start.get();
        synchronized (this) {
            started = call;
            if (!cancelled) {
                return;
            }
        }
        call.cancel();
    }

    @Override
    public void cancel() {
        OutboundCall call;
        synchronized (this) {
            if (cancelled) {
                return;
            }
            cancelled = true;
            call = started;
        }
        if (call == null) {
            onCancelledUnsent.run();
        } else {
            call.cancel();
        }
    }
}
