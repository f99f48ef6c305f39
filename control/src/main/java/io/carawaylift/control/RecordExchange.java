package io.carawaylift.control;

import io.carawaylift.decisions.replica.RecordDelta;
import io.carawaylift.decisions.replica.ReplicaStore;
import io.carawaylift.model.Member;
import io.carawaylift.peer.Message;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Replicates records between control programs: agents push changes to the members of their failure domain, and every
 * program compares digests with a random peer. Used on the decision thread only.
 */
final class RecordExchange implements Records.Listener {
    /** On average one of this many digests is sent to another failure domain. */
    private static final int DIGESTS_PER_OUTSIDE_DIGEST = 4;

    private final ControlState state;
    private final RandomGenerator random;
    /** Records requested from synchronized peers that have not arrived yet, by connection. */
    private final Map<Outbox, Set<String>> pendingFromSynchronized = new HashMap<>();

    RecordExchange(ControlState state, RandomGenerator random) {
        this.state = state;
        this.random = random;
    }

    /** Sends a digest to a random peer; called every two heartbeat intervals. */
    void tick() {
        boolean outside = random.nextInt(DIGESTS_PER_OUTSIDE_DIGEST) == 0;
        Optional<String> host = state.peers().randomHost(!outside);
        if (host.isEmpty()) {
            host = state.peers().randomHost(outside);
        }
        host.ifPresent(peer -> state.peers().send(peer, digest()));
        pendingFromSynchronized.keySet().removeIf(outbox -> !outbox.connection().isWritable());
    }

    @Override
    public void recordChanged(String name, Optional<ReplicaStore.Entry> before) {
        if (!state.isAgent()) {
            return;
        }
        long now = state.loop().nowNanos();
        for (Member member : state.members().members(state.host().failureDomain(), now)) {
            String host = member.process().host();
            if (!host.equals(state.host().id())) {
                state.peers().outbox(host).ifPresent(outbox -> push(outbox, name, before));
            }
        }
    }

    void digestReceived(Outbox from, Message.StoreDigest digest) {
        if (digest.digest() != state.records().store().digest()) {
            from.connection().send(versions(false));
            return;
        }
        if (digest.synchronizedOnce()) {
            state.records().markSynchronized();
        } else if (state.records().isSynchronized()) {
            from.connection().send(versions(true));
        }
    }

    void versionsReceived(Outbox from, Message.StoreVersions versions) {
        List<String> newer = state.records().store().namesNewerAtPeer(versions.versions());
        if (!newer.isEmpty()) {
            from.connection().send(new Message.RecordRequest(newer));
        }
        if (versions.synchronizedOnce() && !state.records().isSynchronized()) {
            pendingFromSynchronized.put(from, new HashSet<>(newer));
            markSynchronizedIfComplete(from);
        }
        boolean peerHasOlderRecords =
                !state.records().store().recordsOlderAtPeer(versions.versions()).isEmpty();
        boolean peerIsUnsynchronized =
                !versions.synchronizedOnce() && state.records().isSynchronized();
        if (!versions.answer() && (peerHasOlderRecords || peerIsUnsynchronized)) {
            from.connection().send(versions(true));
        }
    }

    void requestReceived(Outbox from, Message.RecordRequest request) {
        for (String name : request.names()) {
            if (state.records().store().read(name).isPresent()) {
                from.add(name, Optional.empty());
            }
        }
        from.flush();
    }

    void valueReceived(Outbox from, Message.RecordValue record) {
        state.records().accept(record.name(), record.version(), record.value(), false);
        Set<String> requested = pendingFromSynchronized.get(from);
        if (requested != null && requested.remove(record.name())) {
            markSynchronizedIfComplete(from);
        }
    }

    void deltaReceived(Outbox from, Message.RecordDelta record) {
        List<RecordDelta.Edit> edits = record.edits().stream()
                .map(edit -> new RecordDelta.Edit(edit.line(), edit.removed(), edit.added()))
                .toList();
        RecordDelta delta = new RecordDelta(record.fromVersion(), record.toVersion(), record.resultDigest(), edits);
        if (!state.records().accept(record.name(), delta)) {
            from.connection().send(new Message.RecordRequest(List.of(record.name())));
        }
    }

    private void markSynchronizedIfComplete(Outbox from) {
        if (pendingFromSynchronized.get(from).isEmpty()) {
            pendingFromSynchronized.clear();
            state.records().markSynchronized();
        }
    }

    private static void push(Outbox outbox, String name, Optional<ReplicaStore.Entry> before) {
        outbox.add(name, before);
        outbox.flush();
    }

    private Message digest() {
        return new Message.StoreDigest(
                state.records().store().digest(), state.records().isSynchronized());
    }

    private Message versions(boolean response) {
        return new Message.StoreVersions(
                state.records().store().versions(), state.records().isSynchronized(), response);
    }
}
