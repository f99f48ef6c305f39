package io.carawaylift.testing.platform;

import io.carawaylift.testing.http.HttpExchange;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Active faults, which the control interface sets. Thread-safe. */
final class PlatformFaults {
    enum Mode {
        /** Serves requests. */
        UP,
        /** Refuses connections. */
        REFUSE,
        /** Accepts connections and requests, but neither processes the requests nor responds to them. */
        SILENT
    }

    private final AtomicLong responsesToLose = new AtomicLong();
    private volatile Mode mode = Mode.UP;
    private volatile long delayMs;
    private volatile long hostsLagMs;
    private volatile boolean repeatEvents;
    private volatile String losePrefix = "";

    Mode mode() {
        return mode;
    }

    long delayMs() {
        return delayMs;
    }

    long hostsLagMs() {
        return hostsLagMs;
    }

    boolean repeatEvents() {
        return repeatEvents;
    }

    /** Returns whether the response to a write of the object must be dropped; if so, decrements the number still to drop. */
    boolean takeLostResponse(String name) {
        return name.startsWith(losePrefix) && responsesToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
    }

    /** Sets the faults that the query names and leaves the others unchanged. */
    void set(HttpExchange request) {
        request.parameter("mode").ifPresent(text -> mode = Mode.valueOf(text.toUpperCase(Locale.ROOT)));
        delayMs = request.number("delayMs", delayMs);
        hostsLagMs = request.number("hostsLagMs", hostsLagMs);
        request.parameter("repeatEvents").ifPresent(text -> repeatEvents = Boolean.parseBoolean(text));
        request.parameter("losePrefix").ifPresent(text -> losePrefix = text);
        request.parameter("loseAnswers").ifPresent(text -> responsesToLose.set(Long.parseLong(text)));
    }

    Map<String, Object> describe() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("mode", mode.name().toLowerCase(Locale.ROOT));
        state.put("delayMs", delayMs);
        state.put("hostsLagMs", hostsLagMs);
        state.put("repeatEvents", repeatEvents);
        state.put("losePrefix", losePrefix);
        state.put("loseAnswers", responsesToLose.get());
        return state;
    }
}
