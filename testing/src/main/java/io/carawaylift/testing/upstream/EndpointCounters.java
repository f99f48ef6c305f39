package io.carawaylift.testing.upstream;

import java.util.concurrent.TimeUnit;

/** Counts the occupied slots and the outcomes of requests of one endpoint. Thread-safe. */
final class EndpointCounters {
    private static final long NOT_REACHED = -1;
    private static final long LOAD_REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final UpstreamPlan.EndpointPlan plan;
    private int inFlight;
    private int peakInFlight;
    private long overSlots;
    private long runs;
    private long answered;
    private long cancelled;
    private long expired;
    private long shed;
    private int remainingColdRequests;
    private boolean draining;
    private long drainStartNanos;
    private long runsWhileDraining;
    private long lastRunWhileDrainingMillis;
    private long drainedAfterMillis = NOT_REACHED;
    private long reportedAtNanos;
    private int reportedLoad;

    EndpointCounters(UpstreamPlan.EndpointPlan plan, int coldRequests) {
        this.plan = plan;
        this.remainingColdRequests = coldRequests;
        this.reportedAtNanos = System.nanoTime() - LOAD_REPORT_INTERVAL_NANOS;
    }

    /**
     * State of the endpoint when a request starts.
     *
     * @param overloaded whether all slots were already occupied
     * @param cold whether the endpoint was still warming up
     */
    record StartState(boolean overloaded, boolean cold) {}

    synchronized StartState start() {
        inFlight++;
        runs++;
        peakInFlight = Math.max(peakInFlight, inFlight);
        boolean overloaded = inFlight > plan.slots();
        if (overloaded) {
            overSlots++;
        }
        if (draining) {
            runsWhileDraining++;
            lastRunWhileDrainingMillis = drainMillis();
        }
        boolean cold = remainingColdRequests > 0;
        remainingColdRequests = Math.max(0, remainingColdRequests - 1);
        return new StartState(overloaded, cold);
    }

    synchronized void end() {
        inFlight--;
        recordIfDrained();
    }

    synchronized boolean isFull() {
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

    synchronized boolean isDraining() {
        return draining;
    }

    synchronized void setDraining(boolean value) {
        draining = value;
        drainStartNanos = System.nanoTime();
        runsWhileDraining = 0;
        lastRunWhileDrainingMillis = 0;
        drainedAfterMillis = NOT_REACHED;
        recordIfDrained();
    }

    synchronized void setColdRequests(int requests) {
        remainingColdRequests = requests;
    }

    synchronized void resetPeak() {
        peakInFlight = inFlight;
        overSlots = 0;
    }

    /** Returns the number of requests in flight at the last load report, which is at most five seconds old. */
    synchronized int laggingLoad() {
        long now = System.nanoTime();
        if (now - reportedAtNanos >= LOAD_REPORT_INTERVAL_NANOS) {
            reportedAtNanos = now;
            reportedLoad = inFlight;
        }
        return reportedLoad;
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
                runsWhileDraining,
                lastRunWhileDrainingMillis,
                drainedAfterMillis);
    }

    private void recordIfDrained() {
        if (draining && inFlight == 0) {
            drainedAfterMillis = drainMillis();
        }
    }

    private long drainMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - drainStartNanos);
    }
}
