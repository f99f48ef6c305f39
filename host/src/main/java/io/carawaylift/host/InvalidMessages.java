package io.carawaylift.host;

import io.carawaylift.host.http.InvalidMessage;
import java.net.SocketAddress;

/** Logs and counts invalid HTTP messages. Used on the event loop only. */
final class InvalidMessages {
    private final EventLog log;
    private final HostMetrics metrics;

    InvalidMessages(EventLog log, HostMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Records a message; {@code kind} says what the peer is, such as {@code endpoint}. */
    void add(String kind, SocketAddress peer, InvalidMessage message) {
        metrics.count("carawaylift.messages.invalid", "peer", kind);
        log.event(
                "message.invalid",
                line -> line.put("kind", kind)
                        .put("peer", String.valueOf(peer))
                        .put("read", message.read())
                        .put("expected", message.expected()));
    }
}
