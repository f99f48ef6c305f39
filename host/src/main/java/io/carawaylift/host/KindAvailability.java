package io.carawaylift.host;

import io.carawaylift.platform.store.StoreException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Whether the store responds to the calls for one kind. Logs when it stops to and when it does again. Used on the event
 * loop only.
 */
final class KindAvailability {
    private static final double NANOS_PER_SECOND = 1e9;

    private final String kind;
    private final EventLog log;
    private boolean available = true;
    private boolean readAgain;
    private long lostResponses;
    private long confirmedNanos = System.nanoTime();

    KindAvailability(String kind, EventLog log) {
        this.kind = kind;
        this.log = log;
    }

    /** Returns whether the last call to the store succeeded. */
    boolean isAvailable() {
        return available;
    }

    /** Returns whether the last call got no response in time and is repeated over another connection. */
    boolean isReadAgain() {
        return readAgain;
    }

    /** Returns the number of calls whose responses did not arrive in time. */
    long lostResponses() {
        return lostResponses;
    }

    /** Returns the time in seconds since the store, or a host that follows it, last confirmed the known objects. */
    double ageSeconds() {
        return (System.nanoTime() - confirmedNanos) / NANOS_PER_SECOND;
    }

    /** Records that the store, or a host that follows it, confirmed the known objects. */
    void succeeded() {
        readAgain = false;
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - confirmedNanos);
        confirmedNanos = System.nanoTime();
        if (!available) {
            available = true;
            log.event(
                    "dependency.regained",
                    line -> line.put("dependency", "store").put("kind", kind).put("ageMs", ageMillis));
        }
    }

    /**
     * Records that a call failed; returns whether it is to be repeated at once, since only its connection may be
     * silent. Another connection shows whether the store responds.
     */
    boolean failed(Throwable failure, long callAgeMillis) {
        boolean lost = cause(failure) instanceof TimeoutException;
        if (lost) {
            lostResponses++;
            log.event("store.response_lost", line -> line.put("kind", kind).put("callAgeMs", callAgeMillis));
        }
        if (lost && available && !readAgain) {
            readAgain = true;
            return true;
        }
        if (available) {
            available = false;
            log.event(
                    "dependency.lost",
                    line -> line.put("dependency", "store")
                            .put("kind", kind)
                            .put("callAgeMs", callAgeMillis)
                            .put("reason", String.valueOf(cause(failure).getMessage())));
        }
        return false;
    }

    /** Records that the store no longer has the changes since a revision. */
    void historyExpired(long revision) {
        log.event("store.history_gone", line -> line.put("kind", kind).put("revision", revision));
    }

    /** Returns whether the store responded with an error, which shows that it is reachable. */
    static boolean isRefusal(Throwable failure) {
        return cause(failure) instanceof StoreException;
    }

    /** Returns whether the store no longer has the changes that a watch asked for. */
    static boolean isHistoryExpired(Throwable failure) {
        return cause(failure) instanceof StoreException refused && refused.historyExpired();
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
