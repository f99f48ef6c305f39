package io.carawaylift.peer;

import io.carawaylift.model.MemberReport;

/** Connects to the control program of the same host over TCP. */
final class TcpControlLink implements ControlLink {
    private final String address;
    private final Identity identity;
    private final PeerNetwork.Builder settings;
    private final Object deliveryLock = new Object();
    private volatile PeerNetwork network;
    private volatile PeerLink link;
    private boolean stopped;

    TcpControlLink(String address, Identity identity, PeerNetwork.Builder settings) {
        this.address = address;
        this.identity = identity;
        this.settings = settings;
    }

    @Override
    public void start(Listener listener) {
        String host = identity.process() == null ? null : identity.process().host();
        Message.Hello hello =
                new Message.Hello(identity.program(), host, null, null, null, identity.process(), identity.processId());
        network = settings.seed(identity.processId()).build();
        link = network.connect(address, hello, new ListenerAdapter(listener));
    }

    @Override
    public void stop() {
        synchronized (deliveryLock) {
            stopped = true;
        }
        PeerNetwork started = network;
        if (started != null) {
            link.close();
            started.close();
        }
    }

    @Override
    public void sendHeartbeat(MemberReport report) {
        PeerLink started = link;
        if (started != null) {
            started.send(new Message.Heartbeat(report));
        }
    }

    /** Calls the listener under a lock, so that no call starts after {@link #stop} has returned. */
    private final class ListenerAdapter implements PeerListener {
        private final Listener listener;

        ListenerAdapter(Listener listener) {
            this.listener = listener;
        }

        @Override
        public void opened(Connection connection) {}

        @Override
        public void received(Connection connection, Message message) {
            synchronized (deliveryLock) {
                if (!stopped) {
                    deliver(message);
                }
            }
        }

        @Override
        public void closed(Connection connection) {
            synchronized (deliveryLock) {
                if (!stopped) {
                    listener.disconnected();
                }
            }
        }

        private void deliver(Message message) {
            if (message instanceof Message.RecordValue record) {
                listener.recordChanged(record.name(), record.version(), record.value());
            } else if (message instanceof Message.HeartbeatConfirmed confirmed) {
                listener.platformConfirmed(confirmed.heartbeat(), confirmed.ownersVersions());
            } else if (message instanceof Message.HeartbeatAcknowledged acknowledged) {
                listener.successorAcknowledged(acknowledged.successorHost(), acknowledged.heartbeat());
            } else if (message instanceof Message.RecordsComplete) {
                listener.synchronizedWithControl();
            }
        }
    }
}
