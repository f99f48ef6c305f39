package io.carawaylift.decisions.dispatch;

import io.carawaylift.decisions.fleet.ProcessingTimes;
import io.carawaylift.decisions.route.RequestKind;

/** Demand and processing times of one route's requests for one service. Not thread-safe. */
public final class RouteLoad {
    private final RequestKind kind;
    private final int priority;
    private final long targetMillis;
    private final ProcessingTimes times;
    private final ServiceDemand demand;

    RouteLoad(RequestKind kind, int priority, long targetMillis, ProcessingTimes times, long nowNanos) {
        this.kind = kind;
        this.priority = priority;
        this.targetMillis = targetMillis;
        this.times = times;
        this.demand = new ServiceDemand(nowNanos);
    }

    /** Returns the processing times of the route's requests. */
    public ProcessingTimes times() {
        return times;
    }

    /** Records the arrival of a request. */
    public void arrived(long nowNanos) {
        demand.arrived("", nowNanos);
    }

    int priority() {
        return priority;
    }

    boolean isLike(RequestKind otherKind, int otherPriority, long otherTargetMillis) {
        return kind == otherKind && priority == otherPriority && targetMillis == otherTargetMillis;
    }

    void updateRate(long nowNanos) {
        demand.updateRate(nowNanos);
    }

    /** Returns the mean number of slots in use by this host's requests of the route. */
    double busySlots() {
        return demand.busySlots(times.meanMillis());
    }
}
