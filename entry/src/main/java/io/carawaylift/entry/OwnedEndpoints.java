package io.carawaylift.entry;

import io.carawaylift.decisions.Invariant;
import io.carawaylift.decisions.admission.EndpointHealth;
import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.entry.Topology.EndpointSlots;
import io.carawaylift.model.Endpoint;
import io.carawaylift.model.ResultCode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The endpoints of one upstream that this process owns, as slots of a queue shard. Guarded by the shard's lock. */
final class OwnedEndpoints implements SlotSource {
    /** An at-most-once request opens a new connection while idle connections of idempotent requests are still open. */
    private static final int CONNECTIONS_PER_SLOT = 2;

    /** Time within which an endpoint that is writing a response notices a closed connection. */
    private static final long ABORT_NOTICE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * An endpoint measures the announced time from the arrival of the request. If a slot were reused right at the
     * deadline, a request that took longer than the margin to arrive would still be running.
     */
    private static final long ARRIVAL_ALLOWANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Subtracted from the deadline announced to endpoints, so that their work ends before the slot is reused. */
    private static final long DEADLINE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final SynchronizedLeaseGuard leases;
    private final OutboundCalls calls;
    private final LongSupplier clock;
    private final DrainTimer drainTimer;
    private final EndpointHealth health = new EndpointHealth();
    private final Map<String, Integer> inFlight = new ConcurrentHashMap<>();
    private volatile Map<String, EndpointSlots> endpoints = Map.of();

    OwnedEndpoints(SynchronizedLeaseGuard leases, OutboundCalls calls, LongSupplier clock, DrainTimer drainTimer) {
        this.leases = leases;
        this.calls = calls;
        this.clock = clock;
        this.drainTimer = drainTimer;
    }

    /** Replaces the owned endpoints; called under the shard's lock. */
    void update(Iterable<EndpointSlots> owned) {
        Map<String, EndpointSlots> byId = new LinkedHashMap<>();
        owned.forEach(slots -> byId.put(slots.endpoint().id(), slots));
        long now = clock.getAsLong();
        endpoints.forEach((id, old) -> {
            EndpointSlots current = byId.get(id);
            boolean closed = current == null || current.slots() == 0;
            if (old.slots() > 0 && closed) {
                drainTimer.drainStarted(id, inFlight(id) == 0, now);
            }
        });
        endpoints = byId;
        health.retain(byId.keySet());
    }

    /** Returns how many slots leases, table and connection limits permit now, including those in use. */
    int permittedSlots(long nowNanos) {
        int sum = 0;
        for (EndpointSlots slots : endpoints.values()) {
            sum += permittedSlots(slots, nowNanos);
        }
        return sum;
    }

    /** Returns how many requests are in flight at an endpoint. */
    int inFlight(String endpoint) {
        return inFlight.getOrDefault(endpoint, 0);
    }

    @Override
    public int freeSlots(long nowNanos) {
        int sum = 0;
        for (EndpointSlots slots : endpoints.values()) {
            sum += freeSlots(slots, nowNanos);
        }
        return sum;
    }

    @Override
    public void claim(QueuedJob job, long nowNanos) {
        EndpointSlots chosen = null;
        double maxFreeFraction = 0;
        for (EndpointSlots slots : endpoints.values()) {
            double freeFraction = freeSlots(slots, nowNanos) / (double) Math.max(1, slots.slots());
            if (freeFraction > maxFreeFraction) {
                maxFreeFraction = freeFraction;
                chosen = slots;
            }
        }
        if (chosen == null) {
            throw new IllegalStateException("no endpoint has a free slot");
        }
        String id = chosen.endpoint().id();
        inFlight.merge(id, 1, Integer::sum);
        health.tried(id, nowNanos);
        job.dispatchedTo(id, nowNanos);
    }

    @Override
    public void release(QueuedJob job, long nowNanos) {
        String id = job.target();
        int remaining = inFlight.merge(id, -1, Integer::sum);
        Invariant.check(remaining >= 0, "requests in flight at an endpoint must not be negative", remaining);
        if (remaining == 0) {
            inFlight.remove(id);
            drainTimer.becameIdle(id, nowNanos);
        }
    }

    /**
     * Returns until when the slot counts as used. A request without a response may run at the endpoint until its
     * deadline even after its connection is closed, because the endpoint notices the close late, or never if an
     * intermediary lost the connection. If a response had begun, the endpoint stops soon after the close, because
     * writing fails.
     */
    @Override
    public long busyUntilNanos(QueuedJob job, AttemptResult result, boolean fullyRead, long nowNanos) {
        if (result instanceof Refused || (result instanceof Answered && fullyRead)) {
            return nowNanos;
        }
        long deadline = job.request().deadlineNanos() + ARRIVAL_ALLOWANCE_NANOS;
        return result instanceof Answered ? Math.min(deadline, nowNanos + ABORT_NOTICE_NANOS) : deadline;
    }

    @Override
    public void recordOutcome(QueuedJob job, AttemptResult result, boolean healthy, long nowNanos) {
        String id = job.target();
        if (result instanceof Answered && healthy) {
            health.succeeded(id, nowNanos);
        } else if (indicatesEndpointFailure(result, job)) {
            health.failed(id, nowNanos);
        }
    }

    @Override
    public OutboundCall send(QueuedJob job, ResultReceiver receiver) {
        InboundRequest request = job.request();
        String id = job.target();
        EndpointSlots slots = endpoints.get(id);
        if (slots == null) {
            receiver.accept(Refused.of(ResultCode.NOT_OWNER, "endpoint " + id + " was moved"));
            return OutboundCall.ENDED;
        }
        Endpoint endpoint = slots.endpoint();
        OutboundRequest outbound = new OutboundRequest(
                endpoint.url() + request.target(),
                request.method(),
                request.outboundHeaders(),
                request.body(),
                request.deadlineNanos(),
                DEADLINE_MARGIN_NANOS,
                !request.idempotent() || request.attempt() > 1,
                now -> preSendCheck(id, now));
        return calls.start(outbound, result -> receiver.accept(ResponseClassifier.ofEndpoint(result, id)));
    }

    /**
     * Checks the slot again, because the lease may have ended while the connection was opened or while the process was
     * paused.
     */
    private Optional<Refused> preSendCheck(String id, long nowNanos) {
        EndpointSlots slots = endpoints.get(id);
        if (slots == null || permittedSlots(slots, nowNanos) < inFlight(id)) {
            return Optional.of(Refused.of(ResultCode.NOT_OWNER, "no slot of endpoint " + id + " is permitted now"));
        }
        return Optional.empty();
    }

    private int freeSlots(EndpointSlots slots, long nowNanos) {
        String id = slots.endpoint().id();
        int free = permittedSlots(slots, nowNanos) - inFlight(id);
        return free > 0 && health.mayTry(id, nowNanos) ? free : 0;
    }

    private int permittedSlots(EndpointSlots slots, long nowNanos) {
        int byConnections = Math.max(
                Math.min(1, slots.endpoint().maxConnections()),
                slots.endpoint().maxConnections() / CONNECTIONS_PER_SLOT);
        int byLease = leases.permittedSlots(slots.endpoint().id(), slots.slots(), nowNanos);
        return Math.min(byLease, byConnections);
    }

    private boolean indicatesEndpointFailure(AttemptResult result, QueuedJob job) {
        if (job.isCancelled() && clock.getAsLong() < job.request().deadlineNanos()) {
            return false;
        }
        return switch (result.code()) {
            case UPSTREAM_REFUSED, CONNECT_FAILED, TIMED_OUT, CONNECTION_LOST, ANSWER_CUT, ANSWERED -> true;
            default -> false;
        };
    }
}
