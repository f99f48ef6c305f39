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
    private final ProcessingWindow window;
    private boolean answered;

    /**
     * Begins a drain.
     *
     * @param window is given its end and no longer accepts requests when that phase ends
     * @param startedNanos beginning of the grace period, a monotonic time
     */
    public GracefulDrain(DrainedServer server, ProcessingWindow window, DrainTimes times, long startedNanos) {
        this.server = server;
        this.window = window;
        this.times = times;
        this.startedNanos = startedNanos;
        window.endAt(startedNanos + times.answerNanos());
    }

    /** Does what is due; returns whether the drain has ended. */
    public boolean step(long nowNanos) {
        long elapsedNanos = nowNanos - startedNanos;
        if (window.isAccepting() && elapsedNanos >= times.acceptNanos()) {
            window.stopAccepting();
            server.stopAccepting();
        }
        if (!answered && elapsedNanos >= times.answerNanos()) {
            answered = true;
            server.answerAll();
        }
        return elapsedNanos >= times.endNanos() || (!window.isAccepting() && !server.isBusy());
    }
}
