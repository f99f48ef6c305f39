package io.carawaylift.entry;

import java.io.IOException;

/** Records whether a body was read to its end and whether reading it failed. */
final class ObservedBody implements BodySource {
    private final BodySource source;
    private volatile boolean failed;
    private volatile boolean ended;

    ObservedBody(BodySource source) {
        this.source = source;
    }

    @Override
    public int read(byte[] buffer) throws IOException {
        try {
            int length = source.read(buffer);
            ended |= length < 0;
            return length;
        } catch (IOException e) {
            failed = true;
            throw e;
        }
    }

    /** Returns whether the body was read to its end. */
    boolean hasEnded() {
        return ended;
    }

    boolean hasFailed() {
        return failed;
    }
}
