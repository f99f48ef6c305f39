package io.carawaylift.peer;

import java.util.Objects;

/** Creates TCP connections to the control program of the same host. */
public final class ControlLinks {
    private ControlLinks() {}

    /** Returns a builder; address and identity must be set. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a {@link ControlLink}. */
    public static final class Builder {
        private String address;
        private ControlLink.Identity identity;
        private PeerNetwork.Builder network = PeerNetwork.builder();

        private Builder() {}

        /** Sets the {@code host:port} of the control program. */
        public Builder address(String hostAndPort) {
            if (!hostAndPort.matches("[^\\s]+:[0-9]{1,5}")) {
                throw new IllegalArgumentException(
                        "control address '" + hostAndPort + "' must have the form host:port");
            }
            this.address = hostAndPort;
            return this;
        }

        /** Sets the identity that the program sends to the control program. */
        public Builder identity(ControlLink.Identity newIdentity) {
            this.identity = Objects.requireNonNull(newIdentity, "identity");
            return this;
        }

        /** Sets a network builder with other timeouts than the default ones. */
        public Builder network(PeerNetwork.Builder newNetwork) {
            this.network = Objects.requireNonNull(newNetwork, "network");
            return this;
        }

        /** Returns a connection that has not been started. */
        public ControlLink build() {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(identity, "identity");
            return new TcpControlLink(address, identity, network);
        }
    }
}
