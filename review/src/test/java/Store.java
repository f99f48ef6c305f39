import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: objects by kind and name, lists and watches over HTTP. It answers every call after some time. */
final class Store {
    private record Stored(long revision, String value) {}

    private record Event(long revision, String kind, String name, String value, boolean deleted) {}

    private final Map<String, TreeMap<String, Stored>> objects = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Record record;
    private long revision = 1;
    private volatile int answerMillis = 4;

    /** Host and start of the target of a call whose connection goes silent instead of the answer; null if none. */
    private volatile String[] silenced;

    private volatile long silentSinceNanos;

    Store(Record record) {
        this.record = record;
    }

    /** Makes the connection on which a call of a host waits, or the next such call, go silent for good, once. */
    void silence(String host, String targetStart) {
        record.line("one store connection of " + host + " is to go silent, that of " + targetStart);
        silenced = new String[] {host, targetStart};
    }

    /** Returns when a connection last went silent, 0 if none did. */
    long silentSinceNanos() {
        return silentSinceNanos;
    }

    private synchronized boolean goesSilent(String host, String target) {
        if (silenced == null || !silenced[0].equals(host) || !target.startsWith(silenced[1])) {
            return false;
        }
        silenced = null;
        silentSinceNanos = System.nanoTime();
        return true;
    }

    /** Sets how long the answer to a call takes once it is known. */
    void answerMillis(int millis) {
        record.line("the store's answers take " + millis + " ms");
        answerMillis = millis;
    }

    /** Opens an address of the store for one host, so that calls can be told apart; returns the port. */
    int listen(String host) throws IOException {
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start(() -> {
            while (true) {
                Socket socket = server.accept();
                Threads.start(() -> serve(host, socket));
            }
        });
        return server.getLocalPort();
    }

    /** Writes an object and returns its revision; a write that changes nothing has no effect. */
    synchronized long put(String kind, String name, String value) {
        TreeMap<String, Stored> ofKind = objects.computeIfAbsent(kind, key -> new TreeMap<>());
        Stored known = ofKind.get(name);
        if (known != null && known.value().equals(value)) {
            return known.revision();
        }
        revision++;
        ofKind.put(name, new Stored(revision, value));
        events.add(new Event(revision, kind, name, value, false));
        record.line("store put " + kind + "/" + name + " revision " + revision + " " + (value.length() > 300 ? "(" + value.length() + " bytes)" : value));
        notifyAll();
        return revision;
    }

    synchronized void delete(String kind, String name) {
        Stored known = objects.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (known != null) {
            revision++;
            events.add(new Event(revision, kind, name, known.value(), true));
            record.line("store delete " + kind + "/" + name + " revision " + revision);
            notifyAll();
        }
    }

    synchronized List<String> names(String kind) {
        return new ArrayList<>(objects.getOrDefault(kind, new TreeMap<>()).keySet());
    }

    private void serve(String host, Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        try (socket) {
            while (true) {
                Http.Message call = Http.read(socket.getInputStream());
                if (call == null) {
                    return;
                }
                String target = call.target();
                String answer = answer(call.method(), target, new String(call.body(), StandardCharsets.UTF_8));
                Thread.sleep(answerMillis);
                if (goesSilent(host, target)) {
                    record.line("the store connection of " + host + " is silent, the answer to " + target + " is lost: " + answer);
                    Thread.sleep(Long.MAX_VALUE);
                }
                int status = Integer.parseInt(answer.substring(0, 3));
                Http.write(
                        socket.getOutputStream(),
                        "HTTP/1.1 " + status + " -\r\nContent-Type: application/json\r\nKeep-Alive: timeout=60\r\n",
                        answer.substring(3).getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private String answer(String method, String target, String body) throws InterruptedException {
        int question = target.indexOf('?');
        String path = question < 0 ? target : target.substring(0, question);
        Map<String, String> query = Http.query(question < 0 ? "" : target.substring(question + 1));
        String[] parts = path.substring("/v1/objects/".length()).split("/");
        String kind = parts[0];
        if (method.equals("GET") && query.containsKey("watch")) {
            return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("waitMs", "0")));
        }
        synchronized (this) {
            if (method.equals("GET")) {
                List<String> items = new ArrayList<>();
                objects.getOrDefault(kind, new TreeMap<>()).forEach((name, each) -> {
                    if (name.compareTo(query.getOrDefault("after", "")) > 0) {
                        items.add(object(name, each.revision(), each.value()));
                    }
                });
                return "200{\"items\":[" + String.join(",", items) + "],\"hasMore\":false,\"at\":" + revision + "}";
            }
            String name = parts.length > 1 ? parts[1] : Http.jsonString(body, "name");
            Stored known = objects.getOrDefault(kind, new TreeMap<>()).get(name);
            boolean create = method.equals("POST");
            String expected = Http.jsonNumber(body, "revision");
            if (create ? known != null : known != null && expected != null && Long.parseLong(expected) != known.revision()) {
                return "409" + object(name, known.revision(), known.value());
            }
            if (!create && known == null) {
                return "404{}";
            }
            String value = Http.jsonObject(body, "specification");
            long written = put(kind, name, value);
            return (create ? "201" : "200") + object(name, written, value);
        }
    }

    private synchronized String watch(String kind, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<String> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision() > after && event.kind().equals(kind)) {
                    found.add("{\"deleted\":" + event.deleted() + ",\"object\":"
                            + object(event.name(), event.revision(), event.value()) + "}");
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                return "200{\"events\":[" + String.join(",", found) + "],\"at\":" + revision + "}";
            }
            wait(left);
        }
    }

    private static String object(String name, long revision, String value) {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"specification\":" + value + ",\"status\":null}";
    }
}
