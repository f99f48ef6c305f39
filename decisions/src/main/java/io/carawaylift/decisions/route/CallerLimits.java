package io.carawaylift.decisions.route;

/** What callers may send and how long they may take. */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 64L * 1024 * 1024, 3_000, 15_000);
}
