package io.carawaylift.control;

import io.carawaylift.platform.RetryPolicy;
import java.time.Duration;

/**
 * Reads all records from the platform once after the start, and retries until it succeeds. Used on the decision thread
 * only.
 */
final class InitialRead {
    private final RecordReader reader;
    private final DecisionLoop loop;
    private final RetryPolicy retry;
    private final Runnable done;
    private int failures;

    InitialRead(RecordReader reader, DecisionLoop loop, RetryPolicy retry, Runnable done) {
        this.reader = reader;
        this.loop = loop;
        this.retry = retry;
        this.done = done;
    }

    /** Starts the read after a delay, during which peers may already deliver most records. */
    void start(Duration delay) {
        loop.after(delay, this::read);
    }

    private void read() {
        reader.refresh("", revision -> done.run(), this::failed);
    }

    private void failed() {
        failures++;
        loop.after(retry.delay(failures), this::read);
    }
}
