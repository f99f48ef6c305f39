package io.carawaylift.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Scripted endpoint on a plain socket that records the requests it reads. */
final class ScriptedUpstream implements AutoCloseable {
    private final ServerSocket server;
    private final Script script;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();

    /** Answers one request; the connection is closed if it throws or if it returns false. */
    interface Script {
        boolean respond(Run run, OutputStream out) throws IOException, InterruptedException;
    }

    /** A request that was read completely. */
    record Run(String requestLine, Map<String, String> headers, int connection, int number) {}

    ScriptedUpstream(Script script) throws IOException {
        this.script = script;
        this.server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    String url() {
        return "http://127.0.0.1:" + server.getLocalPort();
    }

    List<Run> runs() {
        return runs;
    }

    static Script ok(String body) {
        return (run, out) -> {
            write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return true;
        };
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                int number = connections.incrementAndGet();
                threads.execute(() -> serve(socket, number));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, int connection) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean open = true;
            while (open) {
                String line = readLine(in);
                if (line.isEmpty()) {
                    return;
                }
                Map<String, String> headers = readHeaders(in);
                in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                Run run = new Run(line, headers, connection, runs.size() + 1);
                runs.add(run);
                open = script.respond(run, out);
            }
        } catch (IOException e) {
            // Some tests close the connection from the other side.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    private static String readLine(InputStream in) throws IOException {
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
        server.close();
        threads.shutdownNow();
    }
}
