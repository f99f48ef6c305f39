package io.carawaylift.entry;

import io.carawaylift.decisions.admission.EndpointHealth;
import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.model.Headers;
import io.carawaylift.model.ResultCode;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Limits the outstanding requests to another entry process. Guarded by the shard's lock, except for the size of the
 * window, which may change at any time.
 */
final class OwnerWindow implements SlotSource {
    /** Time reserved for the response of a peer in this region to arrive before this process's own deadline. */
    private static final long SAME_REGION_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Time reserved for the response of a peer in another region, which takes longer to arrive. */
    private static final long CROSS_REGION_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private final PeerEntry peer;
    private final String upstream;
    private final OutboundCalls calls;
    private final LinkPacer pacer;
    private final String region;
    private volatile int window;
    private final EndpointHealth health = new EndpointHealth();
    private int outstanding;

    /** Creates a window of size 0; {@code upstream} is empty for requests that are forwarded by ticket. */
    OwnerWindow(PeerEntry peer, String upstream, String region, OutboundCalls calls, LinkPacer pacer) {
        this.peer = peer;
        this.upstream = upstream;
        this.region = region;
        this.calls = calls;
        this.pacer = pacer;
    }

    void resize(int requests) {
        window = requests;
    }

    @Override
    public int freeSlots(long nowNanos) {
        return Math.max(0, window - outstanding);
    }

    @Override
    public void claim(QueuedJob job, long nowNanos) {
        outstanding++;
        health.tried(upstream, nowNanos);
        job.dispatchedTo(peer.process().toString(), nowNanos);
    }

    @Override
    public void release(QueuedJob job, long nowNanos) {
        outstanding--;
    }

    /** Returns {@code nowNanos}: the window only limits what waits at the owner, which tracks its slots itself. */
    @Override
    public long busyUntilNanos(QueuedJob job, AttemptResult result, boolean fullyRead, long nowNanos) {
        return nowNanos;
    }

    @Override
    public void recordOutcome(QueuedJob job, AttemptResult result, boolean healthy, long nowNanos) {
        boolean notConnected = result.code() == ResultCode.CONNECT_FAILED && !isFromPeer(result);
        if (notConnected || result.code() == ResultCode.CONNECTION_LOST) {
            health.failed(upstream, nowNanos);
        } else if (result instanceof Answered || isFromPeer(result)) {
            health.succeeded(upstream, nowNanos);
        }
    }

    /** Returns whether requests may be sent to the process now. */
    boolean mayTry(long nowNanos) {
        return health.mayTry(upstream, nowNanos);
    }

    private static boolean isFromPeer(AttemptResult result) {
        return result instanceof Refused refused && refused.fromPeer();
    }

    @Override
    public OutboundCall send(QueuedJob job, ResultReceiver receiver) {
        InboundRequest request = job.request();
        OutboundRequest outbound = outbound(request);
        ResultReceiver classified = result -> receiver.accept(ResponseClassifier.ofEntry(result));
        PacedCall call = new PacedCall(
                () -> calls.start(outbound, classified),
                () -> receiver.accept(Refused.of(ResultCode.CANCELLED_IN_QUEUE, "")));
        int bytes = outbound.wireBytes() + outbound.url().length();
        if (!pacer.schedule(peer.region(), bytes, request.deadlineNanos(), call::begin)) {
            receiver.accept(Refused.of(ResultCode.NO_UPSTREAM, "link to region " + peer.region() + " has no room"));
            return OutboundCall.ENDED;
        }
        return call;
    }

    private OutboundRequest outbound(InboundRequest request) {
        HeaderList headers = request.outboundHeaders()
                .with(Headers.HOP, Integer.toString(request.hop() + 1))
                .with(Headers.FROM_REGION, region)
                .with(Headers.ATTEMPT, Integer.toString(request.attempt()));
        if (!upstream.isEmpty()) {
            headers = headers.with(Headers.UPSTREAM, upstream);
        }
        return new OutboundRequest(
                peer.url() + "/" + request.service() + request.target(),
                request.method(),
                headers,
                request.body(),
                request.deadlineNanos(),
                peer.region().equals(region) ? SAME_REGION_MARGIN_NANOS : CROSS_REGION_MARGIN_NANOS,
                !request.idempotent() || request.attempt() > 1,
                now -> Optional.empty());
    }
}
