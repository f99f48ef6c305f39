package io.carawaylift.decisions.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the health of endpoints by the outcomes of requests (passive health checks). An endpoint that fails repeatedly is
 * suspended and then probed with single requests at growing intervals. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class EndpointHealth {
    /** Consecutive failures that suspend an endpoint; a single truncated response is weak evidence. */
    private static final int FAILURES_TO_SUSPEND = 3;

    private static final long FIRST_PROBE_INTERVAL_NANOS = 500_000_000L;
    private static final long MAX_PROBE_INTERVAL_NANOS = 30_000_000_000L;

    private final Map<String, State> states = new HashMap<>();

    /** Creates a tracker that regards every endpoint as healthy. */
    public EndpointHealth() {}

    /** Returns whether a request may be sent to the endpoint now. */
    public boolean mayTry(String endpoint, long nowNanos) {
        State state = states.get(endpoint);
        return state == null || state.probeIntervalNanos == 0 || nowNanos - state.nextProbeNanos >= 0;
    }

    /** Records that a request is sent, so that a suspended endpoint gets one probe at a time. */
    public void tried(String endpoint, long nowNanos) {
        State state = states.get(endpoint);
        if (state != null && state.probeIntervalNanos > 0) {
            state.probing = true;
            // A result that is never reported must not suspend the endpoint forever; it is probed again after this
            // interval.
            state.nextProbeNanos = nowNanos + MAX_PROBE_INTERVAL_NANOS;
        }
    }

    /** Records a response of the endpoint. A response to a probe ends the suspension; returns whether it did. */
    public boolean succeeded(String endpoint, long nowNanos) {
        State state = states.get(endpoint);
        if (state == null) {
            return false;
        }
        // A late response to a request from before the suspension does not show that the endpoint has recovered.
        if (state.probeIntervalNanos == 0 || state.probing) {
            states.remove(endpoint);
            return state.probeIntervalNanos > 0;
        }
        return false;
    }

    /** Records a connection failure, a refusal, a timeout or a truncated response. */
    public void failed(String endpoint, long nowNanos) {
        State state = states.computeIfAbsent(endpoint, id -> new State());
        state.failures++;
        if (state.probeIntervalNanos == 0 && state.failures >= FAILURES_TO_SUSPEND) {
            state.probeIntervalNanos = FIRST_PROBE_INTERVAL_NANOS;
            state.nextProbeNanos = nowNanos + state.probeIntervalNanos;
        } else if (state.probing) {
            state.probing = false;
            state.probeIntervalNanos = Math.min(MAX_PROBE_INTERVAL_NANOS, 2 * state.probeIntervalNanos);
            state.nextProbeNanos = nowNanos + state.probeIntervalNanos;
        }
    }

    /** Removes the state of all endpoints except the given ones. */
    public void retain(Collection<String> endpoints) {
        states.keySet().retainAll(endpoints);
    }

    private static final class State {
        private int failures;
        private long probeIntervalNanos;
        private long nextProbeNanos;
        private boolean probing;
    }
}
