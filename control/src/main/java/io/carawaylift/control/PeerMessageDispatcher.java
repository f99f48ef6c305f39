package io.carawaylift.control;

import io.carawaylift.peer.Message;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Dispatches messages of other control programs to the components that handle them. Used on the decision thread only.
 */
final class PeerMessageDispatcher implements BiConsumer<Outbox, Message> {
    private final ControlState state;
    private final HeartbeatRelay heartbeatRelay;
    private final TakeoverRunner takeoverRunner;
    private final RecordExchange exchange;

    PeerMessageDispatcher(
            ControlState state, HeartbeatRelay heartbeatRelay, TakeoverRunner takeoverRunner, RecordExchange exchange) {
        this.state = state;
        this.heartbeatRelay = heartbeatRelay;
        this.takeoverRunner = takeoverRunner;
        this.exchange = exchange;
    }

    @Override
    public void accept(Outbox from, Message message) {
        if (message instanceof Message.Heartbeat heartbeat) {
            takeoverRunner.heartbeatReceived(heartbeat.report().member().process());
            heartbeatRelay.receiveRelayed(from.connection(), heartbeat.report());
        } else if (message instanceof Message.HeartbeatConfirmed confirmed) {
            replyReceived(from);
            state.programs().confirm(confirmed);
        } else if (message instanceof Message.HeartbeatAcknowledged acknowledged) {
            replyReceived(from);
            acknowledgementReceived(from, acknowledged);
        } else if (message instanceof Message.ProcessEnded ended) {
            processEnded(from, ended);
        } else {
            recordMessageReceived(from, message);
        }
    }

    private void recordMessageReceived(Outbox from, Message message) {
        if (message instanceof Message.RecordValue value) {
            exchange.valueReceived(from, value);
        } else if (message instanceof Message.RecordDelta delta) {
            exchange.deltaReceived(from, delta);
        } else if (message instanceof Message.StoreDigest digest) {
            exchange.digestReceived(from, digest);
        } else if (message instanceof Message.StoreVersions versions) {
            exchange.versionsReceived(from, versions);
        } else if (message instanceof Message.RecordRequest request) {
            exchange.requestReceived(from, request);
        }
    }

    private void replyReceived(Outbox from) {
        state.members()
                .replyReceived(from.connection().remote().host(), state.loop().nowNanos());
    }

    /**
     * An acknowledgement is ignored while the entry process lacks newer {@code owners/} records that the successor
     * knows; newer records are requested then.
     */
    private void acknowledgementReceived(Outbox from, Message.HeartbeatAcknowledged acknowledgement) {
        if (!state.programs().acknowledge(acknowledgement)) {
            List<String> newer = state.records().store().namesNewerAtPeer(acknowledgement.ownersVersions());
            if (!newer.isEmpty()) {
                from.connection().send(new Message.RecordRequest(newer));
            }
        }
    }

    /** Accepts this only from the control program of the same host; others cannot know that a process terminated. */
    private void processEnded(Outbox from, Message.ProcessEnded ended) {
        Message.Hello remote = from.connection().remote();
        if (ended.process().host().equals(remote.host())) {
            state.members().processEnded(remote.failureDomain(), ended.process());
        }
    }
}
