package io.carawaylift.entry;

/** Receives the result of an attempt. Called exactly once per attempt. */
interface ResultReceiver {
    /** Handles the result. A remaining body must be consumed before this method returns, so it may block. */
    void accept(AttemptResult result);
}
