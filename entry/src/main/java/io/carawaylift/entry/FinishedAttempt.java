package io.carawaylift.entry;

/** An attempt that has already ended; cancelling it does nothing. */
enum FinishedAttempt implements RunningAttempt {
    INSTANCE;

    @Override
    public void cancel() {}

    @Override
    public void cancelQueued() {}

    @Override
    public long waitNanos() {
        return 0;
    }
}
