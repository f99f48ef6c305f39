package io.carawaylift.control;

import io.carawaylift.peer.Message;
import java.util.List;
import java.util.function.BiConsumer;

/** Hands the messages of other control programs to the parts that handle them. Used on the decision thread only. */
final class PeerMessages implements BiConsumer<Outbox, Message> {
    private final ControlState state;
    private final Heartbeats heartbeats;
    private final Successor successor;
    private final RecordExchange exchange;

    PeerMessages(ControlState state, Heartbeats heartbeats, Successor successor, RecordExchange exchange) {
        this.state = state;
        this.heartbeats = heartbeats;
        this.successor = successor;
        this.exchange = exchange;
    }

    @Override
    public void accept(Outbox from, Message message) {
        if (message instanceof Message.Heartbeat heartbeat) {
            successor.heard(heartbeat.report().member().process());
            heartbeats.relayed(from.connection(), heartbeat.report());
        } else if (message instanceof Message.HeartbeatConfirmed confirmed) {
            heardFrom(from);
            state.programs().confirm(confirmed);
        } else if (message instanceof Message.HeartbeatAcknowledged acknowledged) {
            heardFrom(from);
            acknowledged(from, acknowledged);
        } else if (message instanceof Message.ProcessEnded ended) {
            ended(from, ended);
        } else {
            record(from, message);
        }
    }

    private void record(Outbox from, Message message) {
        if (message instanceof Message.RecordValue value) {
            exchange.valueReceived(from, value);
        } else if (message instanceof Message.RecordDelta delta) {
            exchange.deltaReceived(from, delta);
        } else if (message instanceof Message.StoreDigest digest) {
            exchange.digestReceived(from, digest);
        } else if (message instanceof Message.StoreVersions versions) {
            exchange.versionsReceived(from, versions);
        } else if (message instanceof Message.RecordRequest request) {
            exchange.requested(from, request);
        }
    }

    private void heardFrom(Outbox from) {
        state.members()
                .replyReceived(from.connection().remote().host(), state.loop().nowNanos());
    }

    /** A promise does not count while this host has older owners than the successor; those are fetched then. */
    private void acknowledged(Outbox from, Message.HeartbeatAcknowledged promise) {
        if (!state.programs().acknowledge(promise)) {
            List<String> newer = state.records().store().namesNewerAtPeer(promise.ownersVersions());
            if (!newer.isEmpty()) {
                from.connection().send(new Message.RecordRequest(newer));
            }
        }
    }

    /** Only the control program of the same host can know that a process ended. */
    private void ended(Outbox from, Message.ProcessEnded ended) {
        Message.Hello remote = from.connection().remote();
        if (ended.process().host().equals(remote.host())) {
            state.members().processEnded(remote.failureDomain(), ended.process());
        }
    }
}
