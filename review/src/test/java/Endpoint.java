import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An endpoint: runs requests in its slots, queues a few more and rejects the rest. Objects it ran lately are faster. */
final class Endpoint {
    /** A request that arrived, except one with status 421. */
    record Arrival(String requestId, long nanos, boolean cold) {}

    private final Store store;
    private final Record record;
    final String id;
    final String service;
    final String zone;
    private final int slots;
    private final int queue;
    private final double workMillis;
    private final ServerSocket server;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Map<String, Boolean> recent = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > 20;
        }
    };
    private final long born = System.currentTimeMillis();
    private int running;
    private int waiting;
    private long coldUntilNanos;

    Endpoint(Store store, Record record, String id, String service, String zone, int slots, double workMillis)
            throws IOException {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.queue = 3 * slots;
        this.workMillis = workMillis;
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start(() -> {
            while (true) {
                Socket socket = server.accept();
                Threads.start(() -> serve(socket));
            }
        });
    }

    /** Writes the entry, as at the start or when the endpoint becomes cold. */
    void register(int coldMillis) {
        synchronized (this) {
            coldUntilNanos = System.nanoTime() + coldMillis * 1_000_000L;
        }
        store.put(
                "servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"maxConcurrency\":" + slots + ",\"state\":\"ready\",\"coldRemainingMs\":"
                        + coldMillis + ",\"sequence\":1,\"born\":" + born + "}");
    }

    /** Ends the endpoint at once, with all its connections; its entry stays. */
    void crash() throws IOException {
        record.line(id + " crashes");
        server.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }

    synchronized List<Arrival> arrivals() {
        return new ArrayList<>(arrivals);
    }

    private void serve(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        connections.add(socket);
        try (socket) {
            while (true) {
                Http.Message request = Http.read(socket.getInputStream());
                if (request == null) {
                    return;
                }
                String requestId = request.header("X-Request-Id");
                String head;
                byte[] body = new byte[0];
                if (!id.equals(request.header("X-Expected-Instance"))) {
                    head = "HTTP/1.1 421 -\r\nX-Instance-Id: " + id + "\r\n";
                } else if (run(requestId, request.header("X-Affinity-Key"))) {
                    head = "HTTP/1.1 200 OK\r\nX-Response-Signature: " + id + "." + requestId + "\r\n";
                    body = ("answer to " + requestId).getBytes();
                } else {
                    head = "HTTP/1.1 503 -\r\nX-Not-Executed: 1\r\n";
                }
                Http.write(
                        socket.getOutputStream(),
                        head + "X-Request-Id: " + requestId + "\r\nX-Server-Load: " + load()
                                + "\r\nKeep-Alive: timeout=10\r\n",
                        body);
            }
        } finally {
            connections.remove(socket);
        }
    }

    private synchronized String load() {
        return running + "," + waiting + "," + slots;
    }

    /** Runs a request; returns false if all slots and the queue are full. */
    private boolean run(String requestId, String object) throws InterruptedException {
        double millis;
        synchronized (this) {
            long now = System.nanoTime();
            boolean cold = coldUntilNanos - now > 0;
            arrivals.add(new Arrival(requestId, now, cold));
            boolean full = running >= slots && waiting >= queue;
            record.line(id + (cold ? " (cold)" : "") + (full ? " rejects " : " receives ") + requestId);
            if (full) {
                return false;
            }
            waiting++;
            while (running >= slots) {
                wait();
            }
            waiting--;
            running++;
            boolean warm = recent.put(String.valueOf(object), true) != null;
            millis = workMillis * (warm ? 0.3 : 1) * (coldUntilNanos - System.nanoTime() > 0 ? 2 : 1);
        }
        Thread.sleep((long) millis);
        synchronized (this) {
            running--;
            notifyAll();
        }
        record.line(id + " has run " + requestId);
        return true;
    }
}
