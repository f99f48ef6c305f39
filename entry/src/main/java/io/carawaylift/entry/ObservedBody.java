package io.carawaylift.entry;

import java.io.IOException;

/** Notes whether reading a body failed, which tells the health of the endpoint. */
final class ObservedBody implements BodySource {
    private final BodySource source;
    private volatile boolean failed;

    ObservedBody(BodySource source) {
        this.source = source;
    }

    @Override
    public int read(byte[] buffer) throws IOException {
        try {
            return source.read(buffer);
        } catch (IOException e) {
            failed = true;
            throw e;
        }
    }

    boolean hasFailed() {
        return failed;
    }
}
