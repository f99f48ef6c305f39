package io.carawaylift.host;

import io.carawaylift.host.http.InvalidMessage;
import java.net.SocketAddress;

/** Logs and counts what peers do against the rules of a connection. Used on the event loop only. */
final class PeerFaults {
    private final EventLog log;
    private final HostMetrics metrics;

    PeerFaults(EventLog log, HostMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Records an invalid message; {@code kind} says what the peer is, such as {@code endpoint}. */
    void invalid(String kind, SocketAddress peer, InvalidMessage message) {
        metrics.count("carawaylift.messages.invalid", "peer", kind);
        log.event(
                "message.invalid",
                line -> line.put("kind", kind)
                        .put("peer", String.valueOf(peer))
                        .put("read", message.read())
                        .put("expected", message.expected()));
    }

    /** Records a connection that is closed because its caller does not read; {@code heldBytes} were held for it. */
    void unread(SocketAddress peer, long heldBytes) {
        metrics.count("carawaylift.callers.stuck");
        log.event("caller.stuck", line -> line.put("peer", String.valueOf(peer)).put("heldBytes", heldBytes));
    }
}
