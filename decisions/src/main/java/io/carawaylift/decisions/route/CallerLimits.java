package io.carawaylift.decisions.route;

/** Limits on the size of callers' requests and on the time that callers may take. */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits in force until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 64L * 1024 * 1024, 3_000, 15_000);
}
