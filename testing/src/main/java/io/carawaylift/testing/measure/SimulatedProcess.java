package io.carawaylift.testing.measure;

/** Life, pauses and clock of one simulated process. A paused process handles nothing; its input waits in order. */
class SimulatedProcess {
    private final EventQueue events;
    private final double clockRate;
    private final long clockOffset;
    private boolean dead;
    private long pausedUntil;

    SimulatedProcess(EventQueue events, double clockRate, long clockOffset) {
        this.events = events;
        this.clockRate = clockRate;
        this.clockOffset = clockOffset;
    }

    /** Returns the process's monotonic clock. */
    final long clock() {
        return clockOffset + (long) (events.now() * clockRate);
    }

    final EventQueue events() {
        return events;
    }

    final void kill() {
        dead = true;
    }

    final boolean isDead() {
        return dead;
    }

    final void pause(long duration) {
        pausedUntil = Math.max(pausedUntil, events.now() + duration);
    }

    /** Handles an event after a delay and after the end of a pause; never once the process is dead. */
    final void handleAfter(long delay, Runnable action) {
        events.after(delay, () -> {
            if (dead) {
                return;
            }
            if (events.now() < pausedUntil) {
                handleAfter(pausedUntil - events.now(), action);
            } else {
                action.run();
            }
        });
    }

    /** Handles an event repeatedly, at intervals of the process's own clock. */
    final void handleEvery(long interval, Runnable action) {
        handleAfter((long) (interval / clockRate), () -> {
            action.run();
            handleEvery(interval, action);
        });
    }
}
