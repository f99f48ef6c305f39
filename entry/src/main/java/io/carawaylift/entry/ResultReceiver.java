package io.carawaylift.entry;

/** Receives the result of an attempt, once. */
interface ResultReceiver {
    /** Takes the result. An answer with a rest is consumed before this returns; the call may block then. */
    void accept(AttemptResult result);
}
