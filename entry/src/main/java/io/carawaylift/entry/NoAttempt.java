package io.carawaylift.entry;

/** An attempt that has ended already. */
enum NoAttempt implements RunningAttempt {
    INSTANCE;

    @Override
    public void cancel() {}

    @Override
    public void cancelWaiting() {}

    @Override
    public long waitNanos() {
        return 0;
    }
}
