package io.carawaylift.peer;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.RecordBytes;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class PeerNetworkTest {
    private static final Message.Hello HELLO = new Message.Hello("control", "h1", "r", "r-a", "c", null, 1);
    private static final long TIMEOUT_SECONDS = 20;

    private final Semaphore opened = new Semaphore(0);
    private final Semaphore closed = new Semaphore(0);
    private final PeerListener listener = new PeerListener() {
        @Override
        public void opened(Connection connection) {
            opened.release();
        }

        @Override
        public void received(Connection connection, Message message) {}

        @Override
        public void closed(Connection connection) {
            closed.release();
        }
    };

    /** Guards against a port that stays bound after the network was closed, so that a host cannot be started there again. */
    @Test
    void aClosedNetworkReleasesItsPort() throws IOException {
        for (int i = 0; i < 50; i++) {
            PeerNetwork network = PeerNetwork.builder().build();
            int port = network.listen("127.0.0.1", 0, HELLO, listener);
            network.close();

            // Throws if the port is still bound.
            PeerNetwork next = PeerNetwork.builder().build();
            assertThat(next.listen("127.0.0.1", port, HELLO, listener)).isEqualTo(port);
            next.close();
        }
    }

    /** Guards against waiting forever on a connection that stays open although the peer sends nothing. */
    @Test
    void anUnresponsiveConnectionIsReplaced() throws Exception {
        List<Socket> accepted = new ArrayList<>();
        try (ServerSocket unresponsiveServer = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                PeerNetwork network = PeerNetwork.builder()
                        .pingInterval(Duration.ofMillis(50))
                        .readTimeout(Duration.ofMillis(200))
                        .build()) {
            network.connect("127.0.0.1:" + unresponsiveServer.getLocalPort(), HELLO, listener);
            accepted.add(acceptAndSendHello(unresponsiveServer));
            assertThat(opened.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
            accepted.add(acceptAndSendHello(unresponsiveServer));
            assertThat(closed.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
            assertThat(opened.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        } finally {
            for (Socket socket : accepted) {
                socket.close();
            }
        }
    }

    /** Guards against unbounded buffering when a peer stops reading. */
    @Test
    void messagesAreDroppedWhenThePeerDoesNotRead() throws Exception {
        try (ServerSocket unresponsiveServer = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                PeerNetwork network =
                        PeerNetwork.builder().readTimeout(Duration.ofMinutes(1)).build();
                PeerLink link = network.connect("127.0.0.1:" + unresponsiveServer.getLocalPort(), HELLO, listener);
                Socket socket = acceptAndSendHello(unresponsiveServer)) {
            assertThat(opened.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
            Message large = new Message.RecordValue("blocks/1", 1, RecordBytes.copyOf(new byte[1_000_000]));
            int sent = 0;
            while (sent < 100 && link.send(large)) {
                sent++;
            }
            assertThat(sent).isLessThan(100);
            assertThat(socket.isConnected()).isTrue();
        }
    }

    /** Guards against a length prefix that makes the receiver allocate a large buffer. */
    @Test
    void aFrameAboveTheLimitClosesTheConnection() throws Exception {
        try (PeerNetwork network = PeerNetwork.builder().build();
                Socket client = new Socket()) {
            int port = network.listen("127.0.0.1", 0, HELLO, listener);
            client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            client.getOutputStream().write(frame(MessageCodec.encode(HELLO)));
            assertThat(opened.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
            client.getOutputStream()
                    .write(ByteBuffer.allocate(8)
                            .putInt(PeerNetwork.MAX_FRAME_BYTES + 1)
                            .array());
            assertThat(closed.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static Socket acceptAndSendHello(ServerSocket server) throws IOException {
        Socket socket = server.accept();
        socket.getOutputStream().write(frame(MessageCodec.encode(HELLO)));
        return socket;
    }

    private static byte[] frame(byte[] message) {
        return ByteBuffer.allocate(message.length + 4)
                .putInt(message.length)
                .put(message)
                .array();
    }
}
