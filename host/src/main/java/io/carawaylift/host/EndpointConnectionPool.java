package io.carawaylift.host;

import io.carawaylift.decisions.fleet.EndpointStatus;
import io.carawaylift.host.OutboundConnection.ResponseLimits;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/** Pools connections to endpoints. Used on the event loop only. */
final class EndpointConnectionPool {
    /** Longer than a round trip between regions. An endpoint that takes longer to accept is treated as unreachable. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    private final HostLoop loop;
    private final HostMetrics metrics;
    private final HostOptions.BufferLimits limits;
    private final BufferBudget budget;
    private final Predicate<EndpointStatus> usable;
    private final PeerFaults peerFaults;
    private final Map<EndpointStatus, Deque<OutboundConnection>> idle = new HashMap<>();
    private final Map<EndpointStatus, BufferBudget> budgets = new HashMap<>();

    /**
     * Creates a pool.
     *
     * @param budget bounds the responses of all endpoints together
     * @param usable whether an endpoint may get further requests; connections to others are not kept
     */
    EndpointConnectionPool(
            HostLoop loop,
            HostMetrics metrics,
            HostOptions.BufferLimits limits,
            BufferBudget budget,
            Predicate<EndpointStatus> usable,
            PeerFaults peerFaults) {
        this.usable = usable;
        this.loop = loop;
        this.metrics = metrics;
        this.limits = limits;
        this.budget = budget;
        this.peerFaults = peerFaults;
    }

    /** Passes an idle or a new connection to {@code result}, or null and the reason if connecting failed. */
    void acquire(EndpointStatus endpoint, BiConsumer<OutboundConnection, String> result) {
        OutboundConnection idleConnection = takeIdle(endpoint);
        if (idleConnection != null) {
            result.accept(idleConnection, null);
            return;
        }
        metrics.count(
                "carawaylift.endpoint.connections", "service", endpoint.entry().service());
        InetSocketAddress address =
                new InetSocketAddress(endpoint.entry().host(), endpoint.entry().port());
        BufferBudget endpointBudget = budgets.computeIfAbsent(endpoint, key -> budget.part(limits.maxEndpointBytes()));
        ResponseLimits responses = new ResponseLimits(limits.maxResponseBytes(), endpointBudget);
        OutboundConnection.open(loop.netty(), address, CONNECT_TIMEOUT_MILLIS, responses, (connection, reason) -> {
            if (connection != null) {
                connection.onClose(() -> remove(endpoint, connection));
                connection.onInvalid(message -> peerFaults.invalid("endpoint", connection.peer(), message));
            }
            result.accept(connection, reason);
        });
    }

    /** Returns a connection after a response; it is closed if it or the endpoint is not usable any more. */
    void release(EndpointStatus endpoint, OutboundConnection connection) {
        // Deferred, so that extra bytes that arrived with the response are detected before the next request is sent.
        loop.execute(() -> connection.afterRequestWritten(() -> {
            if (usable.test(endpoint) && connection.isReusable(System.nanoTime())) {
                idle.computeIfAbsent(endpoint, key -> new ArrayDeque<>()).addLast(connection);
            } else {
                connection.close();
            }
        }));
    }

    /** Closes idle connections that expired or were closed by the endpoint. */
    void sweep() {
        long now = System.nanoTime();
        for (Deque<OutboundConnection> connections : idle.values()) {
            for (Iterator<OutboundConnection> each = connections.iterator(); each.hasNext(); ) {
                OutboundConnection connection = each.next();
                if (!connection.isReusable(now)) {
                    each.remove();
                    connection.close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /** Closes the idle connections to an endpoint. */
    void closeIdle(EndpointStatus endpoint) {
        budgets.remove(endpoint);
        Deque<OutboundConnection> connections = idle.remove(endpoint);
        if (connections != null) {
            connections.forEach(OutboundConnection::close);
        }
    }

    private OutboundConnection takeIdle(EndpointStatus endpoint) {
        Deque<OutboundConnection> connections = idle.get(endpoint);
        while (connections != null && !connections.isEmpty()) {
            // The most recently used connection is the least likely to be closed by the endpoint right now.
            OutboundConnection connection = connections.pollLast();
            if (connection.isReusable(System.nanoTime())) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void remove(EndpointStatus endpoint, OutboundConnection connection) {
        Deque<OutboundConnection> connections = idle.get(endpoint);
        if (connections != null) {
            connections.remove(connection);
        }
    }
}
