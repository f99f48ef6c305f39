package io.carawaylift.decisions.admission;

/**
 * Judges endpoints by the outcomes of real requests. An endpoint that fails is tried again with single exploratory
 * requests at growing intervals. Not thread-safe.
 */
public final class EndpointHealth {
    /** Returns whether a request may be sent to the endpoint now. */
    public boolean mayTry(String endpoint, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Records that a request is sent, so that an endpoint under exploration gets one request at a time. */
    public void tried(String endpoint, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Records that the endpoint answered. */
    public void succeeded(String endpoint, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Records a connection failure, a refusal, a time-out or a cut answer. */
    public void failed(String endpoint, long nowNanos) {
        throw new UnsupportedOperationException();
    }
}
