package io.carawaylift.testing.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.RecordNames;
import io.carawaylift.runtime.Service;
import io.carawaylift.testing.http.HttpExchange;
import io.carawaylift.testing.http.HttpListener;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Simulates the object API of the platform on one port, with a control interface on another: {@code POST /faults?mode=
 * up|refuse|silent&delayMs=&loseAnswers=&losePrefix=&repeatEvents=&hostsLagMs=}, {@code GET /faults}, {@code GET /calls}, and
 * {@code PUT /hosts/<failure domain>}, which replaces a host list after {@code hostsLagMs} as the platform would.
 */
public final class SimulatedPlatform implements Service {
    private static final int MAX_VALUE_BYTES = 1_000_000;
    private static final int MAX_CONNECTIONS = 20_000;
    private static final long MAX_WATCH_SECONDS = 60;
    private static final String OBJECTS = "/objects/";
    private static final Pattern VERSION = Pattern.compile("\"(\\d+)\"");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final InMemoryObjectStore store = new InMemoryObjectStore();
    private final PlatformFaults faults = new PlatformFaults();
    private final Map<String, AtomicLong> calls = new ConcurrentHashMap<>();
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpListener objectListener;
    private final HttpListener controlListener;

    /** Creates a platform; port 0 selects any free port. */
    public SimulatedPlatform(String address, int port, int controlPort) {
        objectListener = new HttpListener(eventLoops, address, port, MAX_CONNECTIONS, this::handleCall);
        controlListener =
                new HttpListener(eventLoops, address, controlPort, MAX_CONNECTIONS, this::handleControlRequest);
    }

    /** Returns the port of the object API. */
    public int port() {
        return objectListener.port();
    }

    /** Returns the port of the control interface. */
    public int controlPort() {
        return controlListener.port();
    }

    @Override
    public void start() {
        objectListener.start();
        controlListener.start();
    }

    @Override
    public void stop() {
        objectListener.stop();
        controlListener.stop();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Delays a call half before and half after it takes effect, so that it may time out in either phase. */
    private void handleCall(HttpExchange call) {
        if (faults.mode() == PlatformFaults.Mode.SILENT) {
            count("unanswered");
            return;
        }
        long halfDelayMs = faults.delayMs() / 2;
        if (halfDelayMs == 0) {
            dispatch(call, 0);
        } else {
            call.schedule(() -> dispatch(call, halfDelayMs), halfDelayMs);
        }
    }

    private void dispatch(HttpExchange call, long responseDelayMs) {
        if (call.path().equals("/changes")) {
            watch(call, responseDelayMs);
            return;
        }
        PlatformResponse response = createResponse(call);
        if (response == PlatformResponse.LOST) {
            call.abort();
        } else if (responseDelayMs == 0) {
            response.send(call);
        } else {
            call.schedule(() -> response.send(call), responseDelayMs);
        }
    }

    private PlatformResponse createResponse(HttpExchange call) {
        if (call.path().equals("/objects")) {
            count("list");
            return PlatformResponse.json(store.list(call.parameter("prefix").orElse("")));
        }
        if (!call.path().startsWith(OBJECTS) || call.path().length() == OBJECTS.length()) {
            return PlatformResponse.text(404, "no such page: " + call.path());
        }
        String name = call.path().substring(OBJECTS.length());
        return switch (call.method()) {
            case "GET" -> read(name);
            case "PUT" -> write(call, name);
            default -> PlatformResponse.text(405, "method " + call.method());
        };
    }

    private PlatformResponse read(String name) {
        count("read");
        return store.read(name)
                .map(stored -> PlatformResponse.object(stored.value().toArray(), stored.version()))
                .orElse(PlatformResponse.text(404, "no object " + name));
    }

    private PlatformResponse write(HttpExchange call, String name) {
        count("write");
        byte[] value = call.body();
        if (value.length > MAX_VALUE_BYTES) {
            return PlatformResponse.text(413, value.length + " bytes exceed " + MAX_VALUE_BYTES);
        }
        Optional<Long> expected = expectedVersion(call);
        if (expected.isEmpty()) {
            return PlatformResponse.text(428, "If-Match: \"<version>\" or If-None-Match: * is required");
        }
        if (!isJson(value)) {
            return PlatformResponse.text(400, "the value is not JSON");
        }
        Optional<Long> version = store.write(name, RecordBytes.copyOf(value), expected.get());
        if (version.isEmpty()) {
            count("conflict");
            return PlatformResponse.text(412, "another version is stored");
        }
        if (faults.takeLostResponse(name)) {
            count("lost");
            return PlatformResponse.LOST;
        }
        return PlatformResponse.object(new byte[0], version.get());
    }

    private static Optional<Long> expectedVersion(HttpExchange call) {
        if (call.header("If-None-Match").filter("*"::equals).isPresent()) {
            return Optional.of(InMemoryObjectStore.ABSENT);
        }
        return call.header("If-Match")
                .map(VERSION::matcher)
                .filter(Matcher::matches)
                .map(matcher -> Long.parseLong(matcher.group(1)))
                .filter(version -> version > InMemoryObjectStore.ABSENT);
    }

    private static boolean isJson(byte[] value) {
        try {
            return !JSON.readTree(value).isMissingNode();
        } catch (IOException e) {
            return false;
        }
    }

    private void watch(HttpExchange call, long responseDelayMs) {
        count("watch");
        String prefix = call.parameter("prefix").orElse("");
        long after = call.number("after", 0);
        long waitMs = 1000 * Math.min(MAX_WATCH_SECONDS, call.number("wait", 0));
        WatchResponder responder = new WatchResponder(call, prefix, after, responseDelayMs);
        call.onClose(() -> store.cancelWatch(responder));
        store.watch(prefix, after, responder);
        call.schedule(() -> responder.changed(store.cancelWatch(responder)), waitMs);
    }

    /** Responds to a watch at most once; repeats changes if that fault is set. */
    private final class WatchResponder implements InMemoryObjectStore.WatchCallback {
        private final HttpExchange call;
        private final String prefix;
        private final long after;
        private final long delayMs;
        private boolean sent;

        WatchResponder(HttpExchange call, String prefix, long after, long delayMs) {
            this.call = call;
            this.prefix = prefix;
            this.after = after;
            this.delayMs = delayMs;
        }

        @Override
        public void changed(InMemoryObjectStore.ChangedObjects changes) {
            synchronized (this) {
                if (sent) {
                    return;
                }
                sent = true;
            }
            PlatformResponse response =
                    PlatformResponse.json(faults.repeatEvents() ? withRepeatedChanges(changes) : changes);
            call.schedule(
                    () -> {
                        if (faults.mode() == PlatformFaults.Mode.UP) {
                            response.send(call);
                        }
                    },
                    delayMs);
        }

        private InMemoryObjectStore.ChangedObjects withRepeatedChanges(InMemoryObjectStore.ChangedObjects changes) {
            List<InMemoryObjectStore.ChangedObject> events = new ArrayList<>(changes.changes());
            store.lastChangeUpTo(prefix, after).ifPresent(events::add);
            events.addAll(changes.changes());
            return new InMemoryObjectStore.ChangedObjects(changes.revision(), events);
        }
    }

    private void handleControlRequest(HttpExchange request) {
        if (request.path().equals("/calls")) {
            request.respondJson(callCounts());
        } else if (request.path().equals("/faults")) {
            if (request.method().equals("POST")) {
                faults.set(request);
                setListening(faults.mode() != PlatformFaults.Mode.REFUSE, request);
            } else {
                request.respondJson(faults.describe());
            }
        } else if (request.path().startsWith("/" + RecordNames.HOSTS_PREFIX) && isJson(request.body())) {
            String name = request.path().substring(1);
            request.schedule(() -> store.overwrite(name, RecordBytes.copyOf(request.body())), faults.hostsLagMs());
            request.respondJson(Map.of("lagMs", faults.hostsLagMs()));
        } else {
            request.respondText(404, "no such page: " + request.path());
        }
    }

    /** Opens or closes the port in a new thread, because closing waits for the event loop that calls this method. */
    private void setListening(boolean listening, HttpExchange request) {
        Runnable task = () -> {
            if (listening) {
                objectListener.start();
            } else {
                objectListener.stop();
            }
            request.respondJson(faults.describe());
        };
        Thread thread = new Thread(task, "listening");
        thread.setDaemon(true);
        thread.start();
    }

    private Map<String, Long> callCounts() {
        Map<String, Long> counts = new LinkedHashMap<>();
        calls.forEach((kind, number) -> counts.put(kind, number.get()));
        counts.put("watchesWaiting", (long) store.pendingWatchCount());
        return counts;
    }

    private void count(String kind) {
        calls.computeIfAbsent(kind, key -> new AtomicLong()).incrementAndGet();
    }
}
