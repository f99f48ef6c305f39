package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the platform's store, as PROTOCOL.md describes it: lists, watches, conditional writes. Thread-safe. */
final class Store {
    private static final String OBJECTS = "/v1/objects/";
    private static final int PAGE_ITEMS = 500;
    private static final long RETENTION_NANOS = 20_000_000_000L;

    private final HttpServer server;
    private final boolean withEra;
    private final Record record;
    private Map<String, TreeMap<String, Item>> kinds = new HashMap<>();
    private List<Event> history = new ArrayList<>();
    private long revision = 100;
    private long forgottenRevision = 100;
    private long era = 1;
    private boolean away;
    private Copy copy;

    private record Item(String name, long revision, String specification) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                    + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"specification\":" + specification
                    + ",\"status\":null}";
        }
    }

    private record Event(long revision, long nanos, String kind, Item item, boolean deleted) {}

    private record Copy(Map<String, TreeMap<String, Item>> kinds, long revision) {}

    private record Answer(int status, String body) {}

    Store(Record record, boolean withEra) throws IOException {
        this.record = record;
        this.withEra = withEra;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Creates or replaces an object as the operator or an endpoint does; returns its revision. */
    synchronized long put(String kind, String name, String specification) {
        Item before = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        if (before != null && before.specification().equals(specification)) {
            return before.revision();
        }
        revision++;
        Item item = new Item(name, revision, specification);
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, item);
        history.add(new Event(revision, System.nanoTime(), kind, item, false));
        notifyAll();
        record.line("store: " + kind + "/" + name + " written, revision " + revision);
        return revision;
    }

    synchronized void delete(String kind, String name) {
        Item item = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (item != null) {
            revision++;
            history.add(new Event(
                    revision, System.nanoTime(), kind, new Item(name, revision, item.specification()), true));
            notifyAll();
            record.line("store: " + kind + "/" + name + " removed, revision " + revision);
        }
    }

    synchronized long revision() {
        return revision;
    }

    /** Keeps a copy of all objects for {@link #restore}. */
    synchronized void keepCopy() {
        Map<String, TreeMap<String, Item>> copied = new HashMap<>();
        kinds.forEach((kind, items) -> copied.put(kind, new TreeMap<>(items)));
        copy = new Copy(copied, revision);
        record.line("store: copy kept at revision " + revision);
    }

    /** Goes away: ends waiting watches and resets what is sent until {@link #restore}. */
    synchronized void goAway() {
        away = true;
        notifyAll();
        record.line("store: away, at revision " + revision);
    }

    /** Comes back from the copy: later changes are gone and their revisions are given out again. */
    synchronized void restore() {
        kinds = copy.kinds();
        revision = copy.revision();
        forgottenRevision = revision;
        history = new ArrayList<>();
        era++;
        away = false;
        record.line("store: back from the copy, revision " + revision + ", era " + era);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] request = exchange.getRequestBody().readAllBytes();
            String target = exchange.getRequestURI().getRawPath().substring(OBJECTS.length());
            int slash = target.indexOf('/');
            String kind = decode(slash < 0 ? target : target.substring(0, slash));
            String name = slash < 0 ? "" : decode(target.substring(slash + 1));
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            Answer answer = answer(exchange.getRequestMethod(), kind, name, query, request);
            if (answer == null) {
                // Away: the connection ends without an answer.
                return;
            }
            byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            if (withEra) {
                exchange.getResponseHeaders().set("Store-Era", Long.toString(currentEra()));
            }
            exchange.sendResponseHeaders(answer.status(), body.length);
            exchange.getResponseBody().write(body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized long currentEra() {
        return era;
    }

    private synchronized Answer answer(
            String method, String kind, String name, Map<String, String> query, byte[] request)
            throws InterruptedException {
        if (away) {
            return null;
        }
        if (method.equals("GET") && query.containsKey("watch")) {
            return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("waitMs", "0")));
        }
        if (method.equals("GET") && name.isEmpty()) {
            return list(kind, query.getOrDefault("after", ""));
        }
        TreeMap<String, Item> items = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        if (method.equals("GET")) {
            Item item = items.get(name);
            return item == null ? new Answer(404, "{}") : new Answer(200, item.json());
        }
        if (method.equals("DELETE")) {
            Item item = items.get(name);
            if (item == null) {
                return new Answer(404, "{}");
            }
            if (query.containsKey("revision") && Long.parseLong(query.get("revision")) != item.revision()) {
                return new Answer(409, item.json());
            }
            delete(kind, name);
            return new Answer(200, item.json());
        }
        return write(method, kind, name, new String(request, StandardCharsets.UTF_8), items);
    }

    private Answer write(String method, String kind, String name, String body, TreeMap<String, Item> items) {
        int at = body.indexOf("\"specification\":");
        String metadata = body.substring(0, at);
        String specification = body.substring(at + "\"specification\":".length(), body.lastIndexOf('}'));
        String written = name.isEmpty() ? first("\"name\":\"([^\"]+)\"", metadata) : name;
        Item item = items.get(written);
        if (method.equals("POST")) {
            if (item != null) {
                return new Answer(409, item.json());
            }
        } else if (item == null) {
            return new Answer(404, "{}");
        } else {
            String expected = first("\"revision\":([0-9]+)", metadata);
            if (!expected.isEmpty() && Long.parseLong(expected) != item.revision()) {
                return new Answer(409, item.json());
            }
        }
        put(kind, written, specification);
        return new Answer(method.equals("POST") ? 201 : 200, items.get(written).json());
    }

    private static String first(String pattern, String text) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    private Answer list(String kind, String after) {
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Item item : kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
            if (count == PAGE_ITEMS) {
                more = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",").append(item.json());
        }
        return new Answer(200, "{\"items\":[" + items + "],\"hasMore\":" + more + ",\"at\":" + revision + "}");
    }

    private Answer watch(String kind, long from, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        long startEra = era;
        while (true) {
            if (away || era != startEra) {
                return null;
            }
            long now = System.nanoTime();
            while (!history.isEmpty() && now - history.get(0).nanos() > RETENTION_NANOS) {
                forgottenRevision = history.remove(0).revision();
            }
            if (from < forgottenRevision || from > revision) {
                return new Answer(410, "{}");
            }
            StringBuilder events = new StringBuilder();
            for (Event event : history) {
                if (event.kind().equals(kind) && event.revision() > from) {
                    events.append(events.length() == 0 ? "" : ",")
                            .append("{\"deleted\":")
                            .append(event.deleted())
                            .append(",\"object\":")
                            .append(event.item().json())
                            .append('}');
                }
            }
            long remaining = (end - now) / 1_000_000;
            if (events.length() > 0 || remaining <= 0) {
                return new Answer(200, "{\"events\":[" + events + "],\"at\":" + revision + "}");
            }
            wait(remaining);
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> parameters = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&", -1)) {
                int equals = part.indexOf('=');
                if (equals > 0) {
                    parameters.put(decode(part.substring(0, equals)), decode(part.substring(equals + 1)));
                }
            }
        }
        return parameters;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
