package io.carawaylift.host;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An endpoint that reads the head of a request and leaves the body to its script. Thread-safe. */
final class HeadOnlyEndpoint implements AutoCloseable {
    private static final int SMALL_BUFFER_BYTES = 16 * 1024;

    private final ServerSocket serverSocket = new ServerSocket();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private volatile Script script;

    /** Responds to a request; {@code in} stands at its body. The connection is then read for the next request. */
    interface Script {
        void respond(String head, Socket connection, InputStream in) throws IOException, InterruptedException;
    }

    HeadOnlyEndpoint(Script script) throws IOException {
        this.script = script;
        serverSocket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        serverSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        executor.execute(this::accept);
    }

    void script(Script newScript) {
        script = newScript;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = serverSocket.accept();
                executor.execute(() -> serve(connection));
            }
        } catch (IOException e) {
            // close() closed the socket.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (!connection.isClosed()) {
                StringBuilder head = new StringBuilder();
                while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                    int next = in.read();
                    if (next < 0) {
                        return;
                    }
                    head.append((char) next);
                }
                script.respond(head.toString(), connection, in);
            }
        } catch (IOException e) {
            // The peer closed the connection; tests check what the peer got.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        executor.shutdownNow();
    }
}
