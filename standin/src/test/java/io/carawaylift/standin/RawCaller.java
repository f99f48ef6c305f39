package io.carawaylift.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One connection of a caller that sees answers as they are on the wire. */
public final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Socket socket;
    private final InputStream in;

    /** An answer; {@code complete} is false if the connection ended before the end of the body. */
    public record Response(int status, Map<String, String> headers, String body, boolean complete) {
        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    public RawCaller(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request with the headers that callers send, and waits for the answer. */
    public Response call(String method, String target, String id, String... headers) throws IOException {
        send(method, target, id, "", headers);
        return read();
    }

    public void send(String method, String target, String id, String body, String... headers) throws IOException {
        StringBuilder text = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n");
        text.append("X-Request-Id: ").append(id).append("\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        if (!body.isEmpty()) {
            text.append("Content-Length: ").append(body.length()).append("\r\n");
        }
        sendRaw(text.append("\r\n").append(body).toString());
    }

    public void sendRaw(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads an answer; status 0 if the connection ended before one. */
    public Response read() throws IOException {
        String line = readLine();
        if (line.isEmpty()) {
            return new Response(0, Map.of(), "", false);
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(); !header.isEmpty(); header = readLine()) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return new Response(
                Integer.parseInt(line.split(" ", -1)[1]),
                headers,
                new String(body, StandardCharsets.ISO_8859_1),
                body.length == length);
    }

    /** Returns whether the other side ends the connection without sending anything. */
    public boolean closesWithoutData() throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
