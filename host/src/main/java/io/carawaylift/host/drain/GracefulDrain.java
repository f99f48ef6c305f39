package io.carawaylift.host.drain;

/**
 * Leads a server through the phases of a planned stop. Pure apart from the calls to the server: the caller passes the
 * time and repeats {@link #step} until the drain has ended. Not thread-safe: used on the server's event loop, since only
 * there the server's connections do not change during a step.
 */
public final class GracefulDrain {
    private final DrainedServer server;
    private final DrainTimes times;
    private final long startedNanos;
    private boolean accepting = true;

    /** Begins a drain at {@code startedNanos}, a monotonic time. */
    public GracefulDrain(DrainedServer server, DrainTimes times, long startedNanos) {
        this.server = server;
        this.times = times;
        this.startedNanos = startedNanos;
    }

    /** Does what is due; returns whether the drain has ended. */
    public boolean step(long nowNanos) {
        long elapsedNanos = nowNanos - startedNanos;
        if (accepting && elapsedNanos >= times.acceptNanos()) {
            accepting = false;
            server.stopAccepting();
        }
        return elapsedNanos >= times.endNanos() || (!accepting && !server.isBusy());
    }
}
