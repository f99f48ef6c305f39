package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client that sends one request after the other over a kept connection. Not thread-safe. */
final class Caller implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(ProcessHandle.current().pid() * 1_000_000L);
    private static final int TIMEOUT_MILLIS = 8000;

    private final InetSocketAddress host;
    private Socket socket;
    private InputStream in;

    /** A request and its answer; status 0 if the connection ended without one. */
    record Call(String id, long sentNanos, int status, String error, Request answer) {}

    Caller(InetSocketAddress host) {
        this.host = host;
    }

    static String newId() {
        return Long.toHexString(IDS.incrementAndGet());
    }

    /** Sends a request; {@code target} has one character for each byte. */
    Call call(String method, String target, int deadlineMillis, String headers, String body) {
        String id = newId();
        long sent = System.nanoTime();
        try {
            if (socket == null) {
                socket = new Socket();
                socket.connect(host, 1000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(TIMEOUT_MILLIS);
                in = new BufferedInputStream(socket.getInputStream());
            }
            sent = System.nanoTime();
            socket.getOutputStream().write(request(method, target, id, deadlineMillis, headers, body));
            Request answer = Wire.read(in);
            if (answer == null) {
                close();
                return new Call(id, sent, 0, "closed", null);
            }
            if (answer.header("connection").equalsIgnoreCase("close")) {
                close();
            }
            return new Call(id, sent, answer.status(), "", answer);
        } catch (IOException e) {
            close();
            return new Call(id, sent, 0, String.valueOf(e), null);
        }
    }

    /** Returns the bytes of a request. */
    static byte[] request(String method, String target, String id, int deadlineMillis, String headers, String body) {
        return (method + " " + target + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: " + id
                        + "\r\nX-Request-Deadline: " + deadlineMillis + "\r\n" + headers
                        + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // Closed already.
        }
        socket = null;
    }
}
