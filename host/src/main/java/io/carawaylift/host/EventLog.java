package io.carawaylift.host;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Writes one JSON object per line without ever blocking the caller. Lines that do not fit the queue are dropped, and
 * their count is logged. Thread-safe.
 */
final class EventLog {
    /** About one megabyte. */
    private static final int MAX_QUEUED_LINES = 4096;

    /** Timeout of a poll without a line, after which the writer checks for dropped lines. */
    private static final long POLL_TIMEOUT_MILLIS = 1000;

    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private static final JsonFactory JSON = new JsonFactory();

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final OutputStream out;
    private final String host;
    private final Thread writer;
    private volatile boolean closing;
    private long reportedDrops;

    EventLog(String host, OutputStream out) {
        this.host = host;
        this.out = out;
        this.writer = new Thread(this::run, "event-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Queues a line for an event; {@code fields} adds its fields. Never blocks. */
    void event(String name, Consumer<Line> fields) {
        StringWriter text = new StringWriter(256);
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("ts", System.currentTimeMillis());
            json.writeStringField("host", host);
            json.writeStringField("event", name);
            fields.accept(new Line(json));
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (!queue.offer(text.append('\n').toString())) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the number of dropped lines. */
    long droppedLines() {
        return dropped.get();
    }

    /** Writes the queued lines and stops the writer. Returns after a bounded time even if the output blocks. */
    void close() {
        closing = true;
        writer.interrupt();
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        List<String> lines = new ArrayList<>();
        while (!closing || !queue.isEmpty()) {
            Optional<String> first = poll();
            first.ifPresent(lines::add);
            queue.drainTo(lines);
            write(lines);
            lines.clear();
        }
    }

    private Optional<String> poll() {
        try {
            return Optional.ofNullable(queue.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            // Interrupted by close(); run() checks its loop condition.
            return Optional.empty();
        }
    }

    private void write(List<String> lines) {
        try {
            // A single write for all queued lines, since each call costs processor time.
            out.write(String.join("", lines).getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            // The output failed, so only the metric of dropped lines can show the loss.
            dropped.addAndGet(lines.size());
            return;
        }
        long drops = dropped.get();
        if (drops > reportedDrops) {
            long count = drops - reportedDrops;
            reportedDrops = drops;
            event("log.dropped", line -> line.put("lines", count));
        }
    }

    /** Adds the fields of a line. */
    static final class Line {
        private final JsonGenerator json;

        private Line(JsonGenerator json) {
            this.json = json;
        }

        Line put(String name, String value) {
            return write(() -> json.writeStringField(name, value));
        }

        Line put(String name, long value) {
            return write(() -> json.writeNumberField(name, value));
        }

        Line put(String name, double value) {
            return write(() -> json.writeNumberField(name, Math.round(value * 1000) / 1000.0));
        }

        Line put(String name, boolean value) {
            return write(() -> json.writeBooleanField(name, value));
        }

        private Line write(Field field) {
            try {
                field.write();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }

        private interface Field {
            void write() throws IOException;
        }
    }
}
