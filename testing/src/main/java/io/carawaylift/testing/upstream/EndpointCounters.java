package io.carawaylift.testing.upstream;

import java.util.concurrent.TimeUnit;

/** Slots in use and counts of one endpoint. Guarded by its own lock. */
final class EndpointCounters {
    private static final long NEVER = -1;
    private static final long LOAD_REPORT_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final UpstreamPlan.EndpointPlan plan;
    private int inFlight;
    private int peakInFlight;
    private long overSlots;
    private long runs;
    private long answered;
    private long cancelled;
    private long expired;
    private long shed;
    private int coldLeft;
    private boolean leaving;
    private long leavingSinceNanos;
    private long runsWhileLeaving;
    private long lastRunWhileLeavingMs;
    private long leavingInFlightEndMs = NEVER;
    private long loadReportedAtNanos;
    private int loadReported;

    EndpointCounters(UpstreamPlan.EndpointPlan plan, int coldRequests) {
        this.plan = plan;
        this.coldLeft = coldRequests;
        this.loadReportedAtNanos = System.nanoTime() - LOAD_REPORT_PERIOD_NANOS;
    }

    /**
     * What a request finds when it starts.
     *
     * @param crowded whether every slot was taken already
     * @param cold whether the endpoint is still warming up
     */
    record Start(boolean crowded, boolean cold) {}

    synchronized Start start() {
        inFlight++;
        runs++;
        peakInFlight = Math.max(peakInFlight, inFlight);
        boolean crowded = inFlight > plan.slots();
        if (crowded) {
            overSlots++;
        }
        if (leaving) {
            runsWhileLeaving++;
            lastRunWhileLeavingMs = leavingMs();
        }
        boolean cold = coldLeft > 0;
        coldLeft = Math.max(0, coldLeft - 1);
        return new Start(crowded, cold);
    }

    synchronized void end() {
        inFlight--;
        noteDrained();
    }

    synchronized boolean full() {
        return inFlight >= plan.slots();
    }

    synchronized void countAnswered() {
        answered++;
    }

    synchronized void countCancelled() {
        cancelled++;
    }

    synchronized void countExpired() {
        expired++;
    }

    synchronized void countShed() {
        shed++;
    }

    synchronized boolean leaving() {
        return leaving;
    }

    synchronized void setLeaving(boolean value) {
        leaving = value;
        leavingSinceNanos = System.nanoTime();
        runsWhileLeaving = 0;
        lastRunWhileLeavingMs = 0;
        leavingInFlightEndMs = NEVER;
        noteDrained();
    }

    synchronized void cool(int requests) {
        coldLeft = requests;
    }

    synchronized void resetPeak() {
        peakInFlight = inFlight;
        overSlots = 0;
    }

    /** Returns the requests in flight as they were up to five seconds ago. */
    synchronized int laggingLoad() {
        long now = System.nanoTime();
        if (now - loadReportedAtNanos >= LOAD_REPORT_PERIOD_NANOS) {
            loadReportedAtNanos = now;
            loadReported = inFlight;
        }
        return loadReported;
    }

    synchronized EndpointStatistics statistics(int connections, int peakConnections, int refusedConnections) {
        return new EndpointStatistics(
                plan.id(),
                plan.upstream(),
                plan.slots(),
                inFlight,
                peakInFlight,
                overSlots,
                runs,
                answered,
                cancelled,
                expired,
                shed,
                connections,
                peakConnections,
                refusedConnections,
                runsWhileLeaving,
                lastRunWhileLeavingMs,
                leavingInFlightEndMs);
    }

    private void noteDrained() {
        if (leaving && inFlight == 0) {
            leavingInFlightEndMs = leavingMs();
        }
    }

    private long leavingMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - leavingSinceNanos);
    }
}
