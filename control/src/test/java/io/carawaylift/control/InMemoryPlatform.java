package io.carawaylift.control;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.platform.PlatformChanges;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A platform in memory. Each host has its own gate, which can be closed to make the platform unreachable. */
final class InMemoryPlatform implements AutoCloseable {
    private static final Pattern VERSION = Pattern.compile("\"(\\d+)\"");

    private final Map<String, Stored> objects = new TreeMap<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private long revision;

    /** Returns a new open gate. */
    Gate gate() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        Gate gate = new Gate("http://127.0.0.1:" + server.getAddress().getPort());
        server.createContext("/objects", exchange -> gate.pass(exchange, this::objects));
        server.createContext("/changes", exchange -> gate.pass(exchange, this::changes));
        server.setExecutor(executor);
        server.start();
        servers.add(server);
        return gate;
    }

    /** Writes an object unconditionally. */
    synchronized void put(String name, Object record) {
        putNext(name, RecordCodec.encode(record));
    }

    synchronized <T> Optional<T> read(String name, Class<T> type) {
        return Optional.ofNullable(objects.get(name)).map(found -> RecordCodec.decode(found.value(), type));
    }

    @Override
    public void close() {
        servers.forEach(server -> server.stop(0));
        executor.shutdownNow();
    }

    private synchronized Stored putNext(String name, RecordBytes value) {
        Stored before = objects.get(name);
        revision++;
        Stored stored = new Stored(before == null ? 1 : before.version() + 1, revision, value);
        objects.put(name, stored);
        notifyAll();
        return stored;
    }

    private void objects(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/objects")) {
            respond(exchange, 200, null, RecordCodec.encode(since(parameter(exchange, "prefix"), 0)));
        } else if (exchange.getRequestMethod().equals("PUT")) {
            write(exchange, path.substring("/objects/".length()));
        } else {
            Stored found;
            synchronized (this) {
                found = objects.get(path.substring("/objects/".length()));
            }
            respond(exchange, found == null ? 404 : 200, found, found == null ? RecordBytes.of("") : found.value());
        }
    }

    private void write(HttpExchange exchange, String name) throws IOException {
        RecordBytes value = RecordBytes.copyOf(exchange.getRequestBody().readAllBytes());
        String condition = exchange.getRequestHeaders().getFirst("If-Match");
        Matcher matcher = VERSION.matcher(condition == null ? "\"0\"" : condition);
        long expected = matcher.matches() ? Long.parseLong(matcher.group(1)) : -1;
        Stored stored = null;
        synchronized (this) {
            Stored before = objects.get(name);
            if ((before == null ? 0 : before.version()) == expected) {
                stored = putNext(name, value);
            }
        }
        respond(exchange, stored == null ? 412 : 200, stored, RecordBytes.of(""));
    }

    private void changes(HttpExchange exchange) throws IOException {
        String prefix = parameter(exchange, "prefix");
        long after = Long.parseLong(parameter(exchange, "after"));
        long deadline = System.nanoTime() + Long.parseLong(parameter(exchange, "wait")) * 1_000_000_000L;
        PlatformChanges changes = since(prefix, after);
        try {
            while (changes.changes().isEmpty() && System.nanoTime() < deadline) {
                synchronized (this) {
                    wait(20);
                }
                changes = since(prefix, after);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        respond(exchange, 200, null, RecordCodec.encode(changes));
    }

    private synchronized PlatformChanges since(String prefix, long after) {
        List<PlatformChanges.ObjectVersion> changes = new ArrayList<>();
        objects.forEach((name, stored) -> {
            if (name.startsWith(prefix) && stored.revision() > after) {
                changes.add(new PlatformChanges.ObjectVersion(name, stored.version()));
            }
        });
        return new PlatformChanges(revision, changes);
    }

    private static String parameter(HttpExchange exchange, String name) {
        for (String pair : exchange.getRequestURI().getRawQuery().split("&", -1)) {
            if (pair.startsWith(name + "=")) {
                return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        throw new IllegalArgumentException("query lacks parameter " + name);
    }

    private static void respond(HttpExchange exchange, int status, Stored stored, RecordBytes body) throws IOException {
        if (stored != null) {
            exchange.getResponseHeaders().add("ETag", "\"" + stored.version() + "\"");
        }
        exchange.sendResponseHeaders(status, body.length() == 0 ? -1 : body.length());
        exchange.getResponseBody().write(body.toArray());
        exchange.close();
    }

    private record Stored(long version, long revision, RecordBytes value) {}

    private interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    /** The network path of one host to the platform. */
    static final class Gate {
        private final String url;
        private final AtomicBoolean open = new AtomicBoolean(true);
        private final AtomicInteger passed = new AtomicInteger();

        Gate(String url) {
            this.url = url;
        }

        String url() {
            return url;
        }

        /** Returns the number of requests that reached the platform. */
        int passed() {
            return passed.get();
        }

        void setOpen(boolean newOpen) {
            open.set(newOpen);
        }

        private void pass(HttpExchange exchange, Handler handler) throws IOException {
            try {
                if (open.get()) {
                    passed.incrementAndGet();
                    handler.handle(exchange);
                }
            } finally {
                exchange.close();
            }
        }
    }
}
