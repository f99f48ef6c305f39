package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.RecordBytes;
import io.carawaylift.peer.Connection;
import io.carawaylift.peer.Message;
import io.carawaylift.peer.PeerLink;
import io.carawaylift.peer.PeerListener;
import io.carawaylift.peer.PeerNetwork;
import io.carawaylift.standin.RawCaller;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Messages between hosts that are incomplete, foreign or no messages at all: the host goes on. */
final class MalformedPeerMessageTest {
    private HostFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new HostFixture();
        fixture.configure(1);
        fixture.addEndpoint("e-1");
        // A host may be ready before it knows an endpoint that was added after its first list.
        fixture.awaitLine("endpoint.listed", "e-1");
        HostFixture.await(this::isReady);
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private boolean isReady() {
        try {
            return fixture.readiness() == 200;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void assertServes() throws IOException {
        assertThat(fixture.readiness()).isEqualTo(200);
        try (RawCaller lookup = new RawCaller(fixture.host().lookupAddress())) {
            RawCaller.Response response = lookup.call("GET", "/v1/resolve?region=region-a", "none");
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body())
                    .contains("127.0.0.1:" + fixture.host().callerAddress().getPort());
        }
        try (RawCaller caller = fixture.caller()) {
            assertThat(caller.call("GET", "/safe/1", "id").status()).isEqualTo(200);
        }
    }

    private static Message.HostReport report(String host, String region, String callerAddress) {
        return new Message.HostReport(host, region, "zone-a", 1, callerAddress, true, true, 1, Map.of());
    }

    /** Guards against a report without a name or an address that makes every lookup fail. */
    @Test
    void incompleteReportsAndChangesAreIgnored() throws IOException {
        List<Message> messages = List.of(
                report("other", "region-a", null),
                report(null, "region-a", "10.0.0.1:80"),
                report("other", null, "10.0.0.1:80"),
                new Message.RegionReports(List.of(
                        new Message.RegionReport("region-a", 1, List.of(report("x", "region-a", null)), Map.of()),
                        new Message.RegionReport(null, 1, List.of(), Map.of()))),
                new Message.ObjectChanges(null, 0, 0, List.of()),
                new Message.ObjectChanges(
                        "servers",
                        1,
                        0,
                        List.of(new Message.ObjectChange("e-9", 1, 900, false, 0, RecordBytes.of("no json")))),
                new Message.ObjectChanges(
                        "servers", 1, 0, List.of(new Message.ObjectChange("e-9", 1, 901, false, 0, null))),
                new Message.ObjectPositions(true, 0, List.of(new Message.ObjectPosition(null, 1, 1, 1))),
                new Message.ObjectsRequest(null));
        try (PeerNetwork network = PeerNetwork.builder().build()) {
            PeerLink link = network.connect(
                    "127.0.0.1:" + fixture.peerPort(),
                    new Message.Hello("host", "foreign", "region-a", "zone-a", "127.0.0.1:1", null, 1),
                    new SendingListener(messages));
            fixture.awaitLine("store.change_ignored", "e-9");
            assertServes();
            link.close();
        }
        assertServes();
    }

    @Test
    void randomBytesEndOnlyTheirConnection() throws IOException {
        SplittableRandom random = new SplittableRandom(19);
        for (int i = 0; i < 200; i++) {
            byte[] frame = new byte[1 + random.nextInt(200)];
            random.nextBytes(frame);
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.peerPort())) {
                DataOutputStream out = new DataOutputStream(socket.getOutputStream());
                // Half of the frames have a valid length, so that the bytes reach the codec.
                if (random.nextBoolean()) {
                    out.writeInt(frame.length);
                }
                out.write(frame);
                out.flush();
            } catch (IOException e) {
                // The host closed the connection, as it should.
            }
        }
        assertServes();
    }

    /** Sends messages when the connection opens. */
    private record SendingListener(List<Message> messages) implements PeerListener {
        @Override
        public void opened(Connection connection) {
            messages.forEach(connection::send);
        }

        @Override
        public void received(Connection connection, Message message) {}

        @Override
        public void closed(Connection connection) {}
    }
}
