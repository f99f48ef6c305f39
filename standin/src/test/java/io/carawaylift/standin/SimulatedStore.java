package io.carawaylift.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * In-memory HTTP server that simulates the users' object store: paged lists, watches, conditional writes, a discarded event
 * history, outages and the return to an older copy. Thread-safe.
 */
public final class SimulatedStore implements AutoCloseable {
    private static final String OBJECTS = "/v1/objects/";
    private static final int PAGE_SIZE = 3;

    private final ObjectMapper mapper = new ObjectMapper();
    private Map<String, TreeMap<String, ObjectNode>> objectsByKind = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final HttpServer server;
    private long revision = 1;
    private long oldestKnownRevision;
    private int rejectionStatus;
    private boolean silent;
    private final Map<String, HttpServer> serversByClient = new HashMap<>();
    private final Set<Integer> silentPorts = new HashSet<>();
    private final ThreadLocal<Integer> portOfCall = new ThreadLocal<>();
    private int silences;
    private String kindOfLostResponse = "";
    private int callCount;
    private Map<String, TreeMap<String, ObjectNode>> oldObjectsByKind;
    private Copy copy;
    private long era = 1;

    private record Copy(long revision, Map<String, TreeMap<String, ObjectNode>> objectsByKind) {}

    private record Event(long revision, String kind, ObjectNode object, boolean deleted) {}

    public SimulatedStore() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.setExecutor(executor);
        server.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Returns an address for one client, so that it alone can be cut off. */
    public synchronized String address(String client) throws IOException {
        HttpServer ofClient = serversByClient.get(client);
        if (ofClient == null) {
            ofClient = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            ofClient.createContext("/", this::handle);
            ofClient.setExecutor(executor);
            ofClient.start();
            serversByClient.put(client, ofClient);
        }
        return "127.0.0.1:" + ofClient.getAddress().getPort();
    }

    /** Never answers the calls of one client that wait or come from now on. */
    public synchronized void cutOff(String client) {
        silentPorts.add(serversByClient.get(client).getAddress().getPort());
        notifyAll();
    }

    /**
     * Creates or replaces an object.
     *
     * @param value the specification as JSON
     * @throws IllegalArgumentException if the value is not valid JSON
     */
    public synchronized void put(String kind, String name, String value) {
        try {
            store(kind, name, mapper.readTree(value));
        } catch (IOException e) {
            throw new IllegalArgumentException("not valid JSON: " + value, e);
        }
    }

    /** Creates or replaces an object with a specification that need not be JSON that this program can read. */
    public synchronized void putRaw(String kind, String name, String specification) {
        store(kind, name, mapper.getNodeFactory().rawValueNode(new RawValue(specification)));
    }

    /** Deletes an existing object. */
    public synchronized void delete(String kind, String name) {
        ObjectNode object = objectsByKind.get(kind).remove(name);
        revision++;
        history.add(new Event(revision, kind, object, true));
        notifyAll();
    }

    /** Discards all events, so that watches from an earlier revision get status 410. The objects stay. */
    public synchronized void discardHistory() {
        oldestKnownRevision = revision + 1;
        revision++;
        history.clear();
        notifyAll();
    }

    /** Rejects every call with the given HTTP status from now on, also pending watches; 0 ends the outage. */
    public synchronized void rejectWith(int status) {
        rejectionStatus = status;
        notifyAll();
    }

    /**
     * Stops to answer: calls that wait, and calls from now on, never get a response, also after {@link #endSilence}.
     */
    public synchronized void silence() {
        silent = true;
        silences++;
        notifyAll();
    }

    /** Answers further calls again. */
    public synchronized void endSilence() {
        silent = false;
    }

    /** Never answers the watch of a kind that waits now or comes next; all other calls are answered. */
    public synchronized void loseWatch(String kind) {
        kindOfLostResponse = kind;
        notifyAll();
    }

    /** Answers lists that may be old with the objects as they are now, until this is called again. */
    public synchronized void keepForOldLists() {
        oldObjectsByKind = copyOfObjects().objectsByKind();
    }

    /** Keeps a copy of all objects for {@link #restore}. */
    public synchronized void keepCopy() {
        copy = copyOfObjects();
    }

    /**
     * Goes back to the copy and starts a new era: later changes are gone and their revisions are assigned again. Watches
     * that wait are cut off.
     */
    public synchronized void restore() {
        objectsByKind = copy.objectsByKind();
        revision = copy.revision();
        copy = null;
        history.clear();
        oldestKnownRevision = revision;
        era++;
        notifyAll();
    }

    private Copy copyOfObjects() {
        Map<String, TreeMap<String, ObjectNode>> copied = new HashMap<>();
        objectsByKind.forEach((kind, objects) -> copied.put(kind, new TreeMap<>(objects)));
        return new Copy(revision, copied);
    }

    private synchronized long era() {
        return era;
    }

    /** Returns whether an object is listed. */
    public synchronized boolean contains(String kind, String name) {
        return objectsByKind.containsKey(kind) && objectsByKind.get(kind).containsKey(name);
    }

    /** Returns the number of calls received so far. */
    public synchronized int callCount() {
        return callCount;
    }

    private synchronized void countCall() {
        callCount++;
    }

    public synchronized int objectCount(String kind) {
        return objectsByKind.getOrDefault(kind, new TreeMap<>()).size();
    }

    private ObjectNode store(String kind, String name, JsonNode value) {
        revision++;
        ObjectNode object = mapper.createObjectNode();
        object.putObject("metadata").put("name", name).put("revision", revision);
        object.set("specification", value);
        objectsByKind.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
        history.add(new Event(revision, kind, object, false));
        notifyAll();
        return object;
    }

    private void handle(HttpExchange exchange) throws IOException {
        countCall();
        portOfCall.set(exchange.getLocalAddress().getPort());
        try (exchange) {
            QueryStringDecoder target =
                    new QueryStringDecoder(exchange.getRequestURI().toString());
            String path = target.path().substring(OBJECTS.length());
            int slash = path.indexOf('/');
            String kind = slash < 0 ? path : path.substring(0, slash);
            Response response =
                    switch (exchange.getRequestMethod()) {
                        case "GET" -> get(kind, target.parameters());
                        default ->
                            write(
                                    kind,
                                    mapper.readTree(exchange.getRequestBody()),
                                    exchange.getRequestMethod().equals("POST"));
                    };
            byte[] body = mapper.writeValueAsBytes(response.body());
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.getResponseHeaders().set("Store-Era", Long.toString(era()));
            exchange.sendResponseHeaders(response.status(), body.length);
            exchange.getResponseBody().write(body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private record Response(int status, JsonNode body) {}

    /** Blocks until the store is closed if it is silent, or was since the call for which {@code before} was read. */
    private void holdIfSilent(int before) throws InterruptedException {
        if (silent || silences != before || silentPorts.contains(portOfCall.get())) {
            hold();
        }
    }

    private void hold() throws InterruptedException {
        while (true) {
            wait();
        }
    }

    private synchronized Response get(String kind, Map<String, List<String>> query) throws InterruptedException {
        holdIfSilent(silences);
        if (rejectionStatus != 0) {
            return new Response(rejectionStatus, mapper.createObjectNode());
        }
        if (query.containsKey("watch")) {
            long fromRevision = Long.parseLong(query.get("watch").get(0));
            return watch(kind, fromRevision, Long.parseLong(query.get("waitMs").get(0)));
        }
        String after = query.containsKey("after") ? query.get("after").get(0) : "";
        ObjectNode page = mapper.createObjectNode();
        ArrayNode items = page.putArray("items");
        boolean mayBeOld = query.containsKey("serializable") && oldObjectsByKind != null;
        TreeMap<String, ObjectNode> objects =
                (mayBeOld ? oldObjectsByKind : objectsByKind).getOrDefault(kind, new TreeMap<>());
        for (ObjectNode object : objects.tailMap(after, false).values()) {
            if (items.size() < PAGE_SIZE) {
                items.add(object);
            }
        }
        page.put("hasMore", objects.tailMap(after, false).size() > PAGE_SIZE);
        return new Response(200, page.put("at", revision));
    }

    private Response watch(String kind, long fromRevision, long waitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        int silencesBefore = silences;
        long eraBefore = era;
        while (true) {
            holdIfSilent(silencesBefore);
            if (kindOfLostResponse.equals(kind)) {
                kindOfLostResponse = "";
                hold();
            }
            if (rejectionStatus != 0) {
                return new Response(rejectionStatus, mapper.createObjectNode());
            }
            if (era != eraBefore) {
                return new Response(503, mapper.createObjectNode());
            }
            if (fromRevision < oldestKnownRevision || fromRevision > revision) {
                return new Response(410, mapper.createObjectNode());
            }
            ObjectNode response = mapper.createObjectNode();
            ArrayNode events = response.putArray("events");
            for (Event event : history) {
                if (event.kind().equals(kind) && event.revision() > fromRevision) {
                    events.addObject().put("deleted", event.deleted()).set("object", event.object());
                }
            }
            long remainingMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || remainingMillis <= 0) {
                return new Response(200, response.put("at", revision));
            }
            wait(remainingMillis);
        }
    }

    private synchronized Response write(String kind, JsonNode object, boolean create) throws InterruptedException {
        holdIfSilent(silences);
        if (rejectionStatus != 0) {
            return new Response(rejectionStatus, mapper.createObjectNode());
        }
        String name = object.path("metadata").path("name").asText();
        ObjectNode existing = objectsByKind.getOrDefault(kind, new TreeMap<>()).get(name);
        boolean conflict = create
                ? existing != null
                : existing == null
                        || existing.path("metadata").path("revision").asLong()
                                != object.path("metadata").path("revision").asLong();
        return conflict
                ? new Response(409, mapper.createObjectNode())
                : new Response(200, store(kind, name, object.path("specification")));
    }

    @Override
    public void close() {
        rejectWith(503);
        server.stop(0);
        synchronized (this) {
            serversByClient.values().forEach(each -> each.stop(0));
        }
        executor.shutdownNow();
    }
}
