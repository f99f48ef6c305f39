package io.carawaylift.peer;

import java.util.Objects;

/** Makes TCP connections to the control program of the same host. */
public final class ControlLinks {
    private ControlLinks() {}

    /** Returns a builder; address and identity must be set. */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects the settings of a connection. */
    public static final class Builder {
        private String address;
        private ControlLink.Identity identity;
        private PeerNetwork.Builder network = PeerNetwork.builder();

        private Builder() {}

        /** Sets the {@code host:port} of the control program. */
        public Builder address(String hostAndPort) {
            if (!hostAndPort.matches("[^\\s]+:[0-9]{1,5}")) {
                throw new IllegalArgumentException("control address '" + hostAndPort + "' is not host:port");
            }
            this.address = hostAndPort;
            return this;
        }

        /** Sets what the program says about itself. */
        public Builder identity(ControlLink.Identity newIdentity) {
            this.identity = Objects.requireNonNull(newIdentity, "identity");
            return this;
        }

        /** Sets other timeouts than the default ones. */
        public Builder network(PeerNetwork.Builder newNetwork) {
            this.network = Objects.requireNonNull(newNetwork, "network");
            return this;
        }

        /** Returns a connection that is not started yet. */
        public ControlLink build() {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(identity, "identity");
            return new TcpControlLink(address, identity, network);
        }
    }
}
