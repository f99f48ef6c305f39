package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for an endpoint of a service: runs each request for a fixed time and answers it with its id, a signature and a
 * body of a fixed length. Thread-safe.
 */
final class Endpoint {
    final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final long workMillis;
    private final int bodyBytes;
    private final Record record;
    private final ServerSocket listening;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger running = new AtomicInteger();
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private volatile boolean leaving;
    private volatile boolean ended;

    /** A request that was run; {@code answered} tells whether its answer was written. */
    record Run(String requestId, String startLine, String tenant, long nanos, boolean[] answered) {}

    Endpoint(Record record, String id, String service, String zone, int slots, long workMillis, int bodyBytes)
            throws IOException {
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        this.bodyBytes = bodyBytes;
        this.listening = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        start("accept-" + id, this::accept);
    }

    /** Returns the entry in the store. */
    String entry(String state, int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listening.getLocalPort() + "\",\"zone\":\""
                + zone + "\",\"version\":\"v1\",\"maxConcurrency\":" + slots + ",\"state\":\"" + state
                + "\",\"coldRemainingMs\":0,\"sequence\":" + sequence + "}";
    }

    List<Run> runs() {
        return runs;
    }

    /** Answers with Connection: close from now on. */
    void leave() {
        leaving = true;
    }

    /** Ends the endpoint; what it runs is broken off. */
    void end() throws IOException {
        ended = true;
        record.line(id + ": ends, " + running.get() + " requests at work");
        listening.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                start("endpoint-" + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Request request = Wire.read(in); request != null; request = Wire.read(in)) {
                boolean close = answer(request, out);
                if (close) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller left, or the endpoint ended.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Answers a request; returns whether the connection ends. */
    private boolean answer(Request request, OutputStream out) throws IOException, InterruptedException {
        String requestId = request.header("x-request-id");
        String expected = request.header("x-expected-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            write(out, "421 Misdirected Request", requestId, "X-Instance-Id: " + id + "\r\n", new byte[0]);
            return false;
        }
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            write(out, "503 Service Unavailable", requestId, "X-Not-Executed: 1\r\n", new byte[0]);
            return false;
        }
        Run run = new Run(
                requestId, request.startLine(), request.header("x-tenant"), System.nanoTime(), new boolean[1]);
        runs.add(run);
        record.line(id + ": runs " + requestId + " " + request.startLine());
        try {
            Thread.sleep(workMillis);
        } finally {
            running.decrementAndGet();
        }
        boolean last = leaving;
        byte[] body = new byte[request.method().equals("HEAD") ? 0 : bodyBytes];
        Arrays.fill(body, (byte) 'b');
        write(
                out,
                "200 OK",
                requestId,
                "X-Response-Signature: " + id + "." + requestId + "\r\nX-Server-Load: " + running.get() + ",0," + slots
                        + "\r\n" + (last ? "Connection: close\r\n" : "Keep-Alive: timeout=10\r\n"),
                body);
        run.answered()[0] = true;
        return last;
    }

    private static void write(OutputStream out, String status, String requestId, String headers, byte[] body)
            throws IOException {
        String head = "HTTP/1.1 " + status + "\r\nX-Request-Id: " + requestId + "\r\n" + headers + "Content-Length: "
                + body.length + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[start.length + body.length];
        System.arraycopy(start, 0, message, 0, start.length);
        System.arraycopy(body, 0, message, start.length, body.length);
        out.write(message);
        out.flush();
    }
}
