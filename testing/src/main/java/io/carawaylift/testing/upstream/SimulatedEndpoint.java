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
 * Simulates one endpoint. {@code /load} returns its load report; {@code /download/...?bytes=N} returns content that depends only
 * on the path; every other path returns an {@link EchoResponseBody} after its service time. Requests with a method other than
 * GET and HEAD run to completion even if the connection closes, as bookings at real upstreams do.
 */
final class SimulatedEndpoint {
    private static final String DOWNLOAD = "/download/";
    private static final int DEFAULT_CONTENT_BYTES = 200;
    private static final int OVERLOAD_FACTOR = 2;

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
                eventLoops, plan.address(), endpoint.port(), endpoint.maxConnections(), this::handleRequest);
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

    /** Sets the faults, the draining state and the cold requests that a control request names. */
    void control(HttpExchange request) {
        faults.set(request);
        request.parameter("leaving").ifPresent(text -> counters.setDraining(Boolean.parseBoolean(text)));
        request.parameter("cold").ifPresent(text -> counters.setColdRequests(Integer.parseInt(text)));
    }

    private void handleRequest(HttpExchange call) {
        if (faults.silent()) {
            return;
        }
        if (call.path().equals("/load")) {
            long claimedLoad = faults.reportedLoad();
            call.respondJson(Map.of(
                    "inFlight", claimedLoad >= 0 ? claimedLoad : counters.laggingLoad(), "slots", endpoint.slots()));
            return;
        }
        if (faults.shedding() && counters.isFull()) {
            shed(call);
            return;
        }
        new RequestRun(call, counters.start()).begin();
    }

    /** Refuses a request that did not run. {@code Retry-After: 0} makes some HTTP clients retry automatically. */
    private void shed(HttpExchange call) {
        counters.countShed();
        call.respond(503, Map.of(Headers.NOT_RUN, "true", "Retry-After", "0"), new byte[0]);
    }

    /** Runs one request, which occupies a slot until it ends. */
    private final class RequestRun {
        private final HttpExchange call;
        private final EndpointCounters.StartState start;
        private final AtomicBoolean ended = new AtomicBoolean();
        private final int runNumber;

        RequestRun(HttpExchange call, EndpointCounters.StartState start) {
            this.call = call;
            this.start = start;
            call.header(Headers.REQUEST_ID).ifPresent(id -> runs.add("id", id));
            call.header(Headers.TICKET).ifPresent(ticket -> runs.add("ticket", ticket));
            String kind = isCancellable() ? "repeatable" : "once";
            runs.add(kind, call.path());
            this.runNumber = runs.count(kind, call.path());
        }

        void begin() {
            if (isCancellable()) {
                call.onClose(() -> {
                    if (tryEnd()) {
                        counters.countCancelled();
                    }
                });
            }
            long serviceMs = plan.serviceMs(call.path(), start.cold())
                    * faults.slowFactor()
                    * (start.overloaded() ? OVERLOAD_FACTOR : 1);
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

        private boolean isCancellable() {
            return call.method().equals("GET") || call.method().equals("HEAD");
        }

        private boolean tryEnd() {
            boolean first = ended.compareAndSet(false, true);
            if (first) {
                counters.end();
            }
            return first;
        }

        private void expire() {
            if (tryEnd()) {
                counters.countExpired();
                call.respondText(504, "deadline passed at " + endpoint.id());
            }
        }

        private void finish() {
            if (ended.get()) {
                return;
            }
            if (faults.takeDroppedResponse()) {
                tryEnd();
                call.abort();
            } else if (call.path().startsWith(DOWNLOAD)) {
                sendDownload();
            } else if (tryEnd()) {
                counters.countAnswered();
                sendResponse();
            }
        }

        private void sendResponse() {
            EchoResponseBody body = new EchoResponseBody(
                    call.uri(),
                    call.header(Headers.REQUEST_ID).orElse(""),
                    call.header(Headers.TICKET).orElse(""),
                    PatternContent.checksum(call.body()),
                    endpoint.id(),
                    runNumber,
                    (int) call.number("bytes", DEFAULT_CONTENT_BYTES));
            byte[] bytes = body.encode();
            if (faults.takeTruncatedBody()) {
                sendTruncated(bytes);
            } else {
                call.respond(200, Map.of("Content-Type", "application/octet-stream"), bytes);
            }
        }

        private void sendTruncated(byte[] bytes) {
            PatternContent content = new PatternContent(call.uri());
            call.respondPattern(200, Map.of(), content, 0, bytes.length, bytes.length / 2, () -> {});
        }

        /** Sends a download and occupies the slot until the last byte is written, so that slow readers keep it occupied. */
        private void sendDownload() {
            PatternContent content = new PatternContent(call.path());
            long length = call.number("bytes", DEFAULT_CONTENT_BYTES);
            ByteRange whole = new ByteRange(0, length);
            ByteRange range = ByteRange.requested(call, length, content.etag()).orElse(whole);
            if (!range.isSatisfiable()) {
                tryEnd();
                call.respond(416, Map.of("Content-Range", "bytes */" + length), new byte[0]);
                return;
            }
            Map<String, String> responseHeaders = new LinkedHashMap<>();
            responseHeaders.put("Content-Type", "application/octet-stream");
            responseHeaders.put("ETag", content.etag());
            responseHeaders.put("Accept-Ranges", "bytes");
            int status = range.equals(whole) ? 200 : 206;
            if (status == 206) {
                responseHeaders.put("Content-Range", "bytes " + range.start() + "-" + (range.end() - 1) + "/" + length);
            }
            long truncateAt = faults.takeTruncatedBody() ? (range.start() + range.end()) / 2 : Long.MAX_VALUE;
            call.respondPattern(status, responseHeaders, content, range.start(), range.end(), truncateAt, () -> {
                if (tryEnd()) {
                    counters.countAnswered();
                }
            });
        }
    }
}
