package io.carawaylift.testing.upstream;

import io.carawaylift.model.Headers;
import io.carawaylift.testing.http.HttpExchange;
import io.carawaylift.testing.http.HttpListener;
import io.carawaylift.testing.http.PatternContent;
import io.netty.channel.EventLoopGroup;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One endpoint. {@code /load} is its load report; {@code /download/...?bytes=N} answers with content that depends on the
 * path only; every other path answers with an {@link AnswerBody} after its service time. Requests of other methods than
 * GET and HEAD run to their end even if the connection closes, as real bookings do.
 */
final class SimulatedEndpoint {
    private static final String DOWNLOAD = "/download/";
    private static final int DEFAULT_CONTENT_BYTES = 200;
    private static final int CROWDED_FACTOR = 2;

    private final UpstreamPlan plan;
    private final UpstreamPlan.EndpointPlan endpoint;
    private final RunCounts runs;
    private final EndpointCounters counters;
    private final EndpointFaults faults = new EndpointFaults();
    private final HttpListener listener;

    SimulatedEndpoint(
            UpstreamPlan plan, UpstreamPlan.EndpointPlan endpoint, RunCounts runs, EventLoopGroup eventLoops) {
        this.plan = plan;
        this.endpoint = endpoint;
        this.runs = runs;
        this.counters = new EndpointCounters(endpoint, plan.coldRequests());
        this.listener = new HttpListener(
                eventLoops, plan.address(), endpoint.port(), endpoint.maxConnections(), this::received);
    }

    String id() {
        return endpoint.id();
    }

    String upstream() {
        return endpoint.upstream();
    }

    HttpListener listener() {
        return listener;
    }

    EndpointStatistics statistics() {
        return counters.statistics(listener.connections(), listener.peakConnections(), listener.refusedConnections());
    }

    void resetPeak() {
        counters.resetPeak();
    }

    /** Applies a request to the control interface. */
    void control(HttpExchange request) {
        faults.set(request);
        request.parameter("leaving").ifPresent(text -> counters.setLeaving(Boolean.parseBoolean(text)));
        request.parameter("cold").ifPresent(text -> counters.cool(Integer.parseInt(text)));
    }

    private void received(HttpExchange call) {
        if (faults.silent()) {
            return;
        }
        if (call.path().equals("/load")) {
            long lie = faults.reportedLoad();
            call.respondJson(Map.of("inFlight", lie >= 0 ? lie : counters.laggingLoad(), "slots", endpoint.slots()));
            return;
        }
        if (faults.shedding() && counters.full()) {
            shed(call);
            return;
        }
        new Run(call, counters.start()).begin();
    }

    /** Refuses truthfully, with the header that makes careless HTTP clients send the request again by themselves. */
    private void shed(HttpExchange call) {
        counters.countShed();
        call.respond(503, Map.of(Headers.NOT_RUN, "true", "Retry-After", "0"), new byte[0]);
    }

    /** One request that occupies a slot. */
    private final class Run {
        private final HttpExchange call;
        private final EndpointCounters.Start start;
        private final AtomicBoolean ended = new AtomicBoolean();
        private final int number;

        Run(HttpExchange call, EndpointCounters.Start start) {
            this.call = call;
            this.start = start;
            call.header(Headers.REQUEST_ID).ifPresent(id -> runs.add("id", id));
            call.header(Headers.TICKET).ifPresent(ticket -> runs.add("ticket", ticket));
            String kind = cancellable() ? "repeatable" : "once";
            runs.add(kind, call.path());
            this.number = runs.of(kind, call.path());
        }

        void begin() {
            if (cancellable()) {
                call.onClose(() -> {
                    if (end()) {
                        counters.countCancelled();
                    }
                });
            }
            long serviceMs = plan.serviceMs(call.path(), start.cold())
                    * faults.slowFactor()
                    * (start.crowded() ? CROWDED_FACTOR : 1);
            long deadlineMs =
                    call.header(Headers.DEADLINE_MS).map(Long::parseLong).orElse(Long.MAX_VALUE);
            if (deadlineMs < serviceMs) {
                call.schedule(this::expire, deadlineMs);
            } else if (serviceMs == 0) {
                finish();
            } else {
                call.schedule(this::finish, serviceMs);
            }
        }

        private boolean cancellable() {
            return call.method().equals("GET") || call.method().equals("HEAD");
        }

        private boolean end() {
            boolean first = ended.compareAndSet(false, true);
            if (first) {
                counters.end();
            }
            return first;
        }

        private void expire() {
            if (end()) {
                counters.countExpired();
                call.respondText(504, "deadline passed at " + endpoint.id());
            }
        }

        private void finish() {
            if (ended.get()) {
                return;
            }
            if (faults.takeDroppedAnswer()) {
                end();
                call.abort();
            } else if (call.path().startsWith(DOWNLOAD)) {
                download();
            } else if (end()) {
                counters.countAnswered();
                answer();
            }
        }

        private void answer() {
            AnswerBody body = new AnswerBody(
                    call.uri(),
                    call.header(Headers.REQUEST_ID).orElse(""),
                    call.header(Headers.TICKET).orElse(""),
                    PatternContent.checksum(call.body()),
                    endpoint.id(),
                    number,
                    (int) call.number("bytes", DEFAULT_CONTENT_BYTES));
            byte[] bytes = body.encode();
            if (faults.takeCutBody()) {
                sendCut(bytes);
            } else {
                call.respond(200, Map.of("Content-Type", "application/octet-stream"), bytes);
            }
        }

        private void sendCut(byte[] bytes) {
            PatternContent content = new PatternContent(call.uri());
            call.respondPattern(200, Map.of(), content, 0, bytes.length, bytes.length / 2, () -> {});
        }

        /** Keeps the slot until the last byte is written, as a slow reader does at a real endpoint. */
        private void download() {
            PatternContent content = new PatternContent(call.path());
            long length = call.number("bytes", DEFAULT_CONTENT_BYTES);
            ByteRange whole = new ByteRange(0, length);
            ByteRange range = ByteRange.requested(call, length, content.etag()).orElse(whole);
            if (!range.satisfiable()) {
                end();
                call.respond(416, Map.of("Content-Range", "bytes */" + length), new byte[0]);
                return;
            }
            Map<String, String> answerHeaders = new LinkedHashMap<>();
            answerHeaders.put("Content-Type", "application/octet-stream");
            answerHeaders.put("ETag", content.etag());
            answerHeaders.put("Accept-Ranges", "bytes");
            int status = range.equals(whole) ? 200 : 206;
            if (status == 206) {
                answerHeaders.put("Content-Range", "bytes " + range.start() + "-" + (range.end() - 1) + "/" + length);
            }
            long cutAt = faults.takeCutBody() ? (range.start() + range.end()) / 2 : Long.MAX_VALUE;
            call.respondPattern(status, answerHeaders, content, range.start(), range.end(), cutAt, () -> {
                if (end()) {
                    counters.countAnswered();
                }
            });
        }
    }
}
