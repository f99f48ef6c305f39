package io.carawaylift.control;

import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import io.carawaylift.peer.PeerListener;

/** Receives the connections that others open, and sorts programs of this host from other control programs. */
final class Inbound implements PeerListener {
    static final String CONTROL = "control";

    private final ControlState state;
    private final Heartbeats heartbeats;
    private final EndedWatch endedWatch;

    Inbound(ControlState state, Heartbeats heartbeats, EndedWatch endedWatch) {
        this.state = state;
        this.heartbeats = heartbeats;
        this.endedWatch = endedWatch;
    }

    @Override
    public void opened(Connection connection) {
        if (isControl(connection)) {
            state.peers().listener().opened(connection);
            return;
        }
        state.loop().execute(() -> {
            Message.Hello remote = connection.remote();
            if (remote.process() != null) {
                endedWatch.connected(remote.process(), remote.processId());
            }
            state.programs().opened(connection);
        });
    }

    @Override
    public void received(Connection connection, Message message) {
        if (isControl(connection)) {
            state.peers().listener().received(connection, message);
        } else {
            state.loop().execute(() -> state.programs().received(connection, message, heartbeats::local));
        }
    }

    @Override
    public void writable(Connection connection) {
        if (isControl(connection)) {
            state.peers().listener().writable(connection);
        } else {
            state.loop().execute(() -> state.programs().writable(connection));
        }
    }

    @Override
    public void closed(Connection connection) {
        if (isControl(connection)) {
            state.peers().listener().closed(connection);
        } else {
            state.loop().execute(() -> state.programs().closed(connection));
        }
    }

    private static boolean isControl(Connection connection) {
        return CONTROL.equals(connection.remote().program());
    }
}
