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

/** A caller's HTTP/1.1 connection that exposes responses as they are on the wire. Not thread-safe. */
public final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Socket socket;
    private final InputStream in;

    /**
     * An HTTP response.
     *
     * @param status 0 if the connection was closed before a response
     * @param headers by their names in lower case
     * @param complete false if the connection was closed before the end of the body
     */
    public record Response(int status, Map<String, String> headers, String body, boolean complete) {
        /** Returns the value of a header, or null if it is absent; the name's case does not matter. */
        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    public RawCaller(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request without a body and reads the response. Each of {@code headers} is a line {@code Name: value}. */
    public Response call(String method, String target, String id, String... headers) throws IOException {
        send(method, target, id, "", headers);
        return read();
    }

    /** Sends a request with a request id, without waiting for the response. */
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

    /** Sends the text unchanged, in ISO 8859-1. */
    public void sendRaw(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /**
     * Reads one response; its status is 0 if the connection was closed before it.
     *
     * @throws java.net.SocketTimeoutException if nothing arrives for 10 s
     */
    public Response read() throws IOException {
        return read(true);
    }

    /** Reads the response to a HEAD request, which ends with its head; its status is 0 if the connection was closed. */
    public Response readHead() throws IOException {
        return read(false);
    }

    private Response read(boolean withBody) throws IOException {
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
        int length = withBody ? Integer.parseInt(headers.getOrDefault("content-length", "0")) : 0;
        byte[] body = in.readNBytes(length);
        return new Response(
                Integer.parseInt(line.split(" ", -1)[1]),
                headers,
                new String(body, StandardCharsets.ISO_8859_1),
                body.length == length);
    }

    /** Waits for the peer's next byte and returns whether the peer closed or reset the connection instead. */
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
