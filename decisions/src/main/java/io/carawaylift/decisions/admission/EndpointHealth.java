package io.carawaylift.decisions.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Judges endpoints by the outcomes of real requests. An endpoint that fails is tried again with single exploratory
 * requests at growing intervals. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class EndpointHealth {
    /** Failures in a row before an endpoint is suspended; a single cut answer says little about the endpoint. */
    private static final int FAILURES_TO_SUSPEND = 3;

    private static final long FIRST_PROBE_INTERVAL_NANOS = 500_000_000L;
    private static final long MAX_PROBE_INTERVAL_NANOS = 30_000_000_000L;

    private final Map<String, State> states = new HashMap<>();

    /** Creates a judge to which every endpoint is healthy. */
    public EndpointHealth() {}

    /** Returns whether a request may be sent to the endpoint now. */
    public boolean mayTry(String endpoint, long nowNanos) {
        State state = states.get(endpoint);
        return state == null || state.probeIntervalNanos == 0 || nowNanos - state.nextProbeNanos >= 0;
    }

    /** Records that a request is sent, so that an endpoint under exploration gets one request at a time. */
    public void tried(String endpoint, long nowNanos) {
        State state = states.get(endpoint);
        if (state != null && state.probeIntervalNanos > 0) {
            state.probing = true;
            // A result that is never reported must not exclude the endpoint for good.
            state.nextProbeNanos = nowNanos + MAX_PROBE_INTERVAL_NANOS;
        }
    }

    /** Records that the endpoint answered. */
    public void succeeded(String endpoint, long nowNanos) {
        State state = states.get(endpoint);
        if (state == null) {
            return;
        }
        // An answer to a request from before the suspension says nothing about the endpoint now.
        if (state.probeIntervalNanos == 0 || state.probing) {
            states.remove(endpoint);
        }
    }

    /** Records a connection failure, a refusal, a time-out or a cut answer. */
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

    /** Forgets all endpoints but the given ones. */
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
