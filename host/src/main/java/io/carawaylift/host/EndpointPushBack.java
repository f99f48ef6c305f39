package io.carawaylift.host;

import io.carawaylift.decisions.fleet.EndpointEntry;
import io.carawaylift.decisions.fleet.EndpointRegistry;
import io.carawaylift.decisions.fleet.EndpointStatus;
import io.carawaylift.peer.Message;
import io.carawaylift.platform.store.RequestHeaders;
import io.carawaylift.platform.store.RetryAfter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Applies what endpoints request in their responses: no new requests because they leave, or none from this host for
 * some time. Used on the event loop only.
 */
final class EndpointPushBack {
    private static final int UNAVAILABLE_STATUS = 503;

    private final EndpointRegistry registry;
    private final HostLoop loop;
    private final EventLog log;
    private final HostMetrics metrics;
    private final Consumer<EndpointStatus> onUnusable;
    private final Runnable sendQueued;
    private final Consumer<Message> broadcast;

    /**
     * Creates the receiver.
     *
     * @param onUnusable closes the idle connections to an endpoint
     * @param sendQueued tries to send the waiting requests
     * @param broadcast sends a message to the other hosts
     */
    EndpointPushBack(
            EndpointRegistry registry,
            HostLoop loop,
            EventLog log,
            HostMetrics metrics,
            Consumer<EndpointStatus> onUnusable,
            Runnable sendQueued,
            Consumer<Message> broadcast) {
        this.registry = registry;
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
        this.onUnusable = onUnusable;
        this.sendQueued = sendQueued;
        this.broadcast = broadcast;
    }

    /** Reads the headers of a response, before anything else is decided from it. */
    void responseReceived(EndpointEntry sender, int status, HttpHeaders headers, long nowNanos) {
        String leaving = headers.get(RequestHeaders.LEAVING);
        if (leaving != null && leaving.strip().equals(RequestHeaders.IS_LEAVING)) {
            if (markLeaving(sender.id(), sender.startedMillis(), "response")) {
                broadcast.accept(new Message.EndpointLeaving(sender.id(), sender.startedMillis()));
            }
        }
        if (status == UNAVAILABLE_STATUS) {
            RetryAfter.parseNanos(headers.get(HttpHeaderNames.RETRY_AFTER))
                    .ifPresent(nanos -> silence(sender, nanos, nowNanos));
        }
    }

    /** Handles the announcement by another host; returns whether it was new. */
    boolean leavingReported(Message.EndpointLeaving message) {
        return message.endpoint() != null && markLeaving(message.endpoint(), message.startedMillis(), "host");
    }

    private boolean markLeaving(String id, long startedMillis, String source) {
        if (!registry.markLeaving(id, startedMillis)) {
            return false;
        }
        metrics.count("carawaylift.endpoint.leaving", "source", source);
        log.event(
                "endpoint.leaving",
                line -> line.put("endpoint", id).put("started", startedMillis).put("source", source));
        registry.find(id).filter(status -> registry.isLeaving(status.entry())).ifPresent(onUnusable);
        // Deferred, so that the response that announced it is handled first.
        loop.execute(sendQueued);
        return true;
    }

    private void silence(EndpointEntry sender, long nanos, long nowNanos) {
        boolean same = registry.find(sender.id())
                .map(status -> status.entry().sameIncarnation(sender))
                .orElse(false);
        if (!same) {
            return;
        }
        registry.silence(sender.id(), nowNanos + nanos, nowNanos);
        metrics.count("carawaylift.endpoint.silenced", "service", sender.service());
        log.event(
                "endpoint.silenced",
                line -> line.put("endpoint", sender.id()).put("ms", TimeUnit.NANOSECONDS.toMillis(nanos)));
    }
}
