package io.carawaylift.testing.measure;

/** Life, pauses and clock of one simulated process. A paused process handles nothing; its input waits in order. */
class SimulatedProcess {
    private final EventQueue events;
    private final double clockRate;
    private final long clockOffsetNanos;
    private boolean terminated;
    private long pausedUntilNanos;

    SimulatedProcess(EventQueue events, double clockRate, long clockOffsetNanos) {
        this.events = events;
        this.clockRate = clockRate;
        this.clockOffsetNanos = clockOffsetNanos;
    }

    /** Returns the process's monotonic clock. */
    final long clock() {
        return clockOffsetNanos + (long) (events.nowNanos() * clockRate);
    }

    final EventQueue events() {
        return events;
    }

    final void terminate() {
        terminated = true;
    }

    final boolean isTerminated() {
        return terminated;
    }

    final void pause(long durationNanos) {
        pausedUntilNanos = Math.max(pausedUntilNanos, events.nowNanos() + durationNanos);
    }

    /** Handles an event after a delayNanos and after the end of a pause; never once the process is terminated. */
    final void handleAfter(long delayNanos, Runnable action) {
        events.schedule(delayNanos, () -> {
            if (terminated) {
                return;
            }
            if (events.nowNanos() < pausedUntilNanos) {
                handleAfter(pausedUntilNanos - events.nowNanos(), action);
            } else {
                action.run();
            }
        });
    }

    /** Handles an event repeatedly, at intervals of the process's own clock. */
    final void handleEvery(long intervalNanos, Runnable action) {
        handleAfter((long) (intervalNanos / clockRate), () -> {
            action.run();
            handleEvery(intervalNanos, action);
        });
    }
}
