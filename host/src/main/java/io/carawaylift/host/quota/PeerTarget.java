package io.carawaylift.host.quota;

import io.carawaylift.peer.Message;
import java.util.function.Consumer;

/**
 * A connection to another host.
 *
 * @param outgoing whether this host opened it, because the other one is a relay
 * @param send sends a message; must not block
 */
public record PeerTarget(String host, String region, boolean outgoing, Consumer<Message> send) {}
