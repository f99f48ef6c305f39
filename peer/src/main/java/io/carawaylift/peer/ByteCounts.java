package io.carawaylift.peer;

import java.util.concurrent.atomic.LongAdder;

/** Bytes of frames sent to and received from other processes since the start. Thread-safe. */
public final class ByteCounts {
    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();

    ByteCounts() {}

    /** Returns the bytes written to sockets. */
    public long sent() {
        return sent.sum();
    }

    /** Returns the bytes read from sockets. */
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
