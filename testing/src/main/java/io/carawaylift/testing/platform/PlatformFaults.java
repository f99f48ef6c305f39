package io.carawaylift.testing.platform;

import io.carawaylift.testing.http.HttpExchange;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Faults that the control interface sets. Thread-safe. */
final class PlatformFaults {
    enum Mode {
        /** Answers. */
        UP,
        /** Refuses connections. */
        REFUSE,
        /** Accepts connections and requests, does nothing with them and never answers. */
        SILENT
    }

    private final AtomicLong answersToLose = new AtomicLong();
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

    /** Returns whether the answer of the present write is to be lost, and counts it. */
    boolean takeLostAnswer(String name) {
        return name.startsWith(losePrefix) && answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    /** Sets the faults named by the query; others stay as they are. */
    void set(HttpExchange request) {
        request.parameter("mode").ifPresent(text -> mode = Mode.valueOf(text.toUpperCase(Locale.ROOT)));
        delayMs = request.number("delayMs", delayMs);
        hostsLagMs = request.number("hostsLagMs", hostsLagMs);
        request.parameter("repeatEvents").ifPresent(text -> repeatEvents = Boolean.parseBoolean(text));
        request.parameter("losePrefix").ifPresent(text -> losePrefix = text);
        request.parameter("loseAnswers").ifPresent(text -> answersToLose.set(Long.parseLong(text)));
    }

    Map<String, Object> describe() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("mode", mode.name().toLowerCase(Locale.ROOT));
        state.put("delayMs", delayMs);
        state.put("hostsLagMs", hostsLagMs);
        state.put("repeatEvents", repeatEvents);
        state.put("losePrefix", losePrefix);
        state.put("loseAnswers", answersToLose.get());
        return state;
    }
}
