package io.carawaylift.testing.proxy;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against faults that affect too many or too few connections. */
final class FaultProxyTest {
    private ServerSocket echo;
    private FaultProxy proxy;

    @BeforeEach
    void start() throws IOException {
        echo = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread server = new Thread(this::serve, "echo");
        server.setDaemon(true);
        server.start();
        proxy = new FaultProxy(
                "127.0.0.1", 0, new InetSocketAddress(InetAddress.getLoopbackAddress(), echo.getLocalPort()));
        proxy.start();
    }

    @AfterEach
    void stop() throws IOException {
        proxy.stop();
        echo.close();
    }

    @Test
    void muteDropsDataOfOpenConnectionsAndNotOfNewOnes() throws IOException {
        try (Socket old = connect()) {
            assertThat(exchange(old, 1)).isEqualTo(1);
            proxy.mute();
            assertThrows(SocketTimeoutException.class, () -> exchange(old, 2));
            try (Socket fresh = connect()) {
                assertThat(exchange(fresh, 3)).isEqualTo(3);
            }
            assertThrows(SocketTimeoutException.class, () -> exchange(old, 4));
        }
    }

    @Test
    void freezeDelaysDataWithoutLoss() throws IOException {
        try (Socket socket = connect()) {
            assertThat(exchange(socket, 1)).isEqualTo(1);
            proxy.freeze(true);
            assertThrows(SocketTimeoutException.class, () -> exchange(socket, 2));
            proxy.freeze(false);
            assertThat(socket.getInputStream().read()).isEqualTo(2);
        }
    }

    @Test
    void openConnectionsAreReset() throws IOException {
        try (Socket socket = connect()) {
            assertThat(exchange(socket, 1)).isEqualTo(1);
            proxy.resetConnections();
            assertThrows(IOException.class, () -> {
                if (exchange(socket, 2) == -1) {
                    throw new IOException("closed");
                }
            });
        }
    }

    @Test
    void delayAndBandwidthLimitSlowDataDown() throws IOException {
        proxy.pace(100, 0);
        try (Socket socket = connect()) {
            long start = System.nanoTime();
            assertThat(exchange(socket, 1)).isEqualTo(1);
            assertThat(System.nanoTime() - start).isAtLeast(200_000_000L);
            proxy.pace(0, 10);
            start = System.nanoTime();
            assertThat(exchange(socket, 2)).isEqualTo(2);
            assertThat(System.nanoTime() - start).isAtLeast(200_000_000L);
        }
    }

    private void serve() {
        while (!echo.isClosed()) {
            try {
                Socket socket = echo.accept();
                Thread copy = new Thread(() -> copy(socket), "echo connection");
                copy.setDaemon(true);
                copy.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void copy(Socket socket) {
        try (socket) {
            socket.getInputStream().transferTo(socket.getOutputStream());
        } catch (IOException e) {
            // Expected when a test resets the connection.
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        socket.setSoTimeout(700);
        return socket;
    }

    private static int exchange(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        return socket.getInputStream().read();
    }
}
