package io.carawaylift.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes sent to and received from other processes since the process started. Thread-safe. */
public final class ByteCounts {
    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();

    ByteCounts() {}

    /** Returns the number of bytes written to sockets. */
    public long sent() {
        return sent.sum();
    }

    /** Returns the number of bytes read from sockets. */
    public long received() {
        return received.sum();
    }

    void addSent(long bytes) {
        sent.add(bytes);
    }

    void addReceived(long bytes) {
        received.add(bytes);
    }
}
