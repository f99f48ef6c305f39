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
 * The platform on one port and its control interface on another. Control interface: {@code POST /faults?mode=
 * up|refuse|silent&delayMs=&loseAnswers=&losePrefix=&repeatEvents=&hostsLagMs=}, {@code GET /faults}, {@code GET /calls}, and
 * {@code PUT /hosts/<failure domain>}, by which the platform itself changes its list after {@code hostsLagMs}.
 */
public final class SimulatedPlatform implements Service {
    private static final int MAX_VALUE_BYTES = 1_000_000;
    private static final int MAX_CONNECTIONS = 20_000;
    private static final long MAX_WAIT_SECONDS = 60;
    private static final String OBJECTS = "/objects/";
    private static final Pattern VERSION = Pattern.compile("\"(\\d+)\"");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ObjectStore store = new ObjectStore();
    private final PlatformFaults faults = new PlatformFaults();
    private final Map<String, AtomicLong> calls = new ConcurrentHashMap<>();
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpListener objects;
    private final HttpListener control;

    /** Creates a platform; a port of 0 stands for any free one. */
    public SimulatedPlatform(String address, int port, int controlPort) {
        objects = new HttpListener(eventLoops, address, port, MAX_CONNECTIONS, this::received);
        control = new HttpListener(eventLoops, address, controlPort, MAX_CONNECTIONS, this::controlled);
    }

    /** Returns the port of the object API. */
    public int port() {
        return objects.port();
    }

    /** Returns the port of the control interface. */
    public int controlPort() {
        return control.port();
    }

    @Override
    public void start() {
        objects.start();
        control.start();
    }

    @Override
    public void stop() {
        objects.stop();
        control.stop();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Delays half before the call takes effect and half after, so that time-outs hit both kinds. */
    private void received(HttpExchange call) {
        if (faults.mode() == PlatformFaults.Mode.SILENT) {
            count("unanswered");
            return;
        }
        long half = faults.delayMs() / 2;
        if (half == 0) {
            dispatch(call, 0);
        } else {
            call.schedule(() -> dispatch(call, half), half);
        }
    }

    private void dispatch(HttpExchange call, long answerDelayMs) {
        if (call.path().equals("/changes")) {
            watch(call, answerDelayMs);
            return;
        }
        Reply reply = reply(call);
        if (reply == Reply.LOST) {
            call.abort();
        } else if (answerDelayMs == 0) {
            reply.send(call);
        } else {
            call.schedule(() -> reply.send(call), answerDelayMs);
        }
    }

    private Reply reply(HttpExchange call) {
        if (call.path().equals("/objects")) {
            count("list");
            return Reply.json(store.list(call.parameter("prefix").orElse("")));
        }
        if (!call.path().startsWith(OBJECTS) || call.path().length() == OBJECTS.length()) {
            return Reply.text(404, "no such page: " + call.path());
        }
        String name = call.path().substring(OBJECTS.length());
        return switch (call.method()) {
            case "GET" -> read(name);
            case "PUT" -> write(call, name);
            default -> Reply.text(405, "method " + call.method());
        };
    }

    private Reply read(String name) {
        count("read");
        return store.read(name)
                .map(stored -> Reply.object(stored.value().toArray(), stored.version()))
                .orElse(Reply.text(404, "no object " + name));
    }

    private Reply write(HttpExchange call, String name) {
        count("write");
        byte[] value = call.body();
        if (value.length > MAX_VALUE_BYTES) {
            return Reply.text(413, value.length + " bytes exceed " + MAX_VALUE_BYTES);
        }
        Optional<Long> expected = expectedVersion(call);
        if (expected.isEmpty()) {
            return Reply.text(428, "If-Match: \"<version>\" or If-None-Match: * is required");
        }
        if (!isJson(value)) {
            return Reply.text(400, "the value is not JSON");
        }
        Optional<Long> version = store.write(name, RecordBytes.copyOf(value), expected.get());
        if (version.isEmpty()) {
            count("conflict");
            return Reply.text(412, "another version is stored");
        }
        if (faults.takeLostAnswer(name)) {
            count("lost");
            return Reply.LOST;
        }
        return Reply.object(new byte[0], version.get());
    }

    private static Optional<Long> expectedVersion(HttpExchange call) {
        if (call.header("If-None-Match").filter("*"::equals).isPresent()) {
            return Optional.of(ObjectStore.ABSENT);
        }
        return call.header("If-Match")
                .map(VERSION::matcher)
                .filter(Matcher::matches)
                .map(matcher -> Long.parseLong(matcher.group(1)))
                .filter(version -> version > ObjectStore.ABSENT);
    }

    private static boolean isJson(byte[] value) {
        try {
            return !JSON.readTree(value).isMissingNode();
        } catch (IOException e) {
            return false;
        }
    }

    private void watch(HttpExchange call, long answerDelayMs) {
        count("watch");
        String prefix = call.parameter("prefix").orElse("");
        long after = call.number("after", 0);
        long waitMs = 1000 * Math.min(MAX_WAIT_SECONDS, call.number("wait", 0));
        WaitingWatch waiting = new WaitingWatch(call, prefix, after, answerDelayMs);
        call.onClose(() -> store.forget(waiting));
        store.watch(prefix, after, waiting);
        call.schedule(() -> waiting.answer(store.forget(waiting)), waitMs);
    }

    /** Answers a watch once, with repeated events if that fault is set. */
    private final class WaitingWatch implements ObjectStore.WatchAnswer {
        private final HttpExchange call;
        private final String prefix;
        private final long after;
        private final long delayMs;
        private boolean answered;

        WaitingWatch(HttpExchange call, String prefix, long after, long delayMs) {
            this.call = call;
            this.prefix = prefix;
            this.after = after;
            this.delayMs = delayMs;
        }

        @Override
        public void answer(ObjectStore.Changes changes) {
            synchronized (this) {
                if (answered) {
                    return;
                }
                answered = true;
            }
            Reply reply = Reply.json(faults.repeatEvents() ? repeated(changes) : changes);
            call.schedule(
                    () -> {
                        if (faults.mode() == PlatformFaults.Mode.UP) {
                            reply.send(call);
                        }
                    },
                    delayMs);
        }

        private ObjectStore.Changes repeated(ObjectStore.Changes changes) {
            List<ObjectStore.Change> events = new ArrayList<>(changes.changes());
            store.lastSeen(prefix, after).ifPresent(events::add);
            events.addAll(changes.changes());
            return new ObjectStore.Changes(changes.revision(), events);
        }
    }

    private void controlled(HttpExchange request) {
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

    /** Runs in a thread of its own because closing a port waits for the event loop that calls this. */
    private void setListening(boolean listening, HttpExchange request) {
        Runnable work = () -> {
            if (listening) {
                objects.start();
            } else {
                objects.stop();
            }
            request.respondJson(faults.describe());
        };
        Thread change = new Thread(work, "listening");
        change.setDaemon(true);
        change.start();
    }

    private Map<String, Long> callCounts() {
        Map<String, Long> counts = new LinkedHashMap<>();
        calls.forEach((kind, number) -> counts.put(kind, number.get()));
        counts.put("watchesWaiting", (long) store.waiting());
        return counts;
    }

    private void count(String kind) {
        calls.computeIfAbsent(kind, key -> new AtomicLong()).incrementAndGet();
    }
}
