package io.carawaylift.control;

import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import io.carawaylift.peer.PeerListener;

/**
 * Handles inbound connections: passes those of other control programs to {@link Peers} and those of the programs of
 * this host to {@link LocalPrograms}. Thread-safe.
 */
final class InboundConnections implements PeerListener {
    static final String CONTROL_PROGRAM = "control";

    private final ControlState state;
    private final HeartbeatRelay heartbeatRelay;
    private final ProcessMonitor processMonitor;

    InboundConnections(ControlState state, HeartbeatRelay heartbeatRelay, ProcessMonitor processMonitor) {
        this.state = state;
        this.heartbeatRelay = heartbeatRelay;
        this.processMonitor = processMonitor;
    }

    @Override
    public void opened(Connection connection) {
        if (isControlProgram(connection)) {
            state.peers().listener().opened(connection);
            return;
        }
        state.loop().execute(() -> {
            Message.Hello remote = connection.remote();
            if (remote.process() != null) {
                processMonitor.watch(remote.process(), remote.processId());
            }
            state.programs().opened(connection);
        });
    }

    @Override
    public void received(Connection connection, Message message) {
        if (isControlProgram(connection)) {
            state.peers().listener().received(connection, message);
        } else {
            state.loop().execute(() -> state.programs().received(connection, message, heartbeatRelay::relayLocal));
        }
    }

    @Override
    public void writable(Connection connection) {
        if (isControlProgram(connection)) {
            state.peers().listener().writable(connection);
        } else {
            state.loop().execute(() -> state.programs().writable(connection));
        }
    }

    @Override
    public void closed(Connection connection) {
        if (isControlProgram(connection)) {
            state.peers().listener().closed(connection);
        } else {
            state.loop().execute(() -> state.programs().closed(connection));
        }
    }

    private static boolean isControlProgram(Connection connection) {
        return CONTROL_PROGRAM.equals(connection.remote().program());
    }
}
