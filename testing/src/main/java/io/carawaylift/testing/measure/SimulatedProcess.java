package io.carawaylift.testing.measure;

import io.carawaylift.loadmodel.EventQueue;

/** Base of a simulated process with a clock of its own. A paused process handles its events in order after the pause. */
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

    /** Returns the monotonic time of this process in nanoseconds; its rate and offset differ between processes. */
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

    /** Runs an action after a delay and the end of any pause, unless the process has terminated by then. */
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

    /** Runs an action repeatedly, at intervals measured by the clock of this process. */
    final void handleEvery(long intervalNanos, Runnable action) {
        handleAfter((long) (intervalNanos / clockRate), () -> {
            action.run();
            handleEvery(intervalNanos, action);
        });
    }
}
