package io.carawaylift.host;

import io.carawaylift.decisions.fleet.EndpointPicker.Choice;
import io.carawaylift.decisions.fleet.EndpointPicker.Requirements;
import io.carawaylift.decisions.fleet.EndpointStatus;
import io.carawaylift.decisions.route.RequestKind;
import io.carawaylift.decisions.route.Route;
import io.carawaylift.decisions.route.RouteTable;
import io.carawaylift.model.Outcome;
import io.carawaylift.model.ResultCode;
import io.carawaylift.platform.store.LoadHeader;
import io.carawaylift.platform.store.RequestHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One request of a caller from its arrival to its answer. Used on the event loop only. */
final class Exchange {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Part of the target for which a request may wait here for room; longer holding is a price without a service. */
    private static final double HOLD_PART = 0.125;

    /** Part of the timeout after which a request that found no room is refused; its caller can still come back in time. */
    private static final double MAX_HOLD_PART = 0.15;

    /** Part of the timeout within which an answer must be expected for a request that can no longer be in time. */
    private static final double LATE_PART = 0.45;

    /** An endpoint ends its work at the deadline and says so; its answer is given this long to arrive. */
    private static final long ANSWER_GRACE_MILLIS = 150;

    /** Sends in all, counting those that an endpoint rejected. */
    private static final int MAX_SENDS = 3;

    /** Least time in which a caller may come back after a refusal. */
    private static final double MIN_RETRY_AFTER_SECONDS = 0.2;

    private static final int BAD_REQUEST = 400;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int LAST_SUCCESS = 299;
    private static final int MISDIRECTED = 421;

    /** Statuses that promise a caller that the request has not run. */
    private static final Set<Integer> PROMISES = Set.of(408, MISDIRECTED, 429, 503);

    private final Forwarder forwarder;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final ByteBuf body;
    private final long arrivedNanos;
    private final String id;
    private final String object;
    private final Set<String> excluded = new HashSet<>();
    private final List<String> steps = new ArrayList<>();
    private Route route;
    private long configurationVersion;
    private String service = "";
    private ServiceTraffic traffic;
    private long deadlineNanos;
    private HostLoop.Timer timer;
    private boolean finished;
    private boolean waiting;
    private boolean acceptLate;
    private String region = "";
    private boolean mayHaveRun;
    private int runs;
    private int sends;
    private OutboundConnection inFlight;
    private EndpointStatus inFlightAt;

    Exchange(Forwarder forwarder, CallerConnection caller, HttpRequest head, ByteBuf body, long arrivedNanos) {
        this.forwarder = forwarder;
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.arrivedNanos = arrivedNanos;
        this.id = head.headers().get(RequestHeaders.REQUEST_ID, "");
        this.object = head.headers().get(RequestHeaders.OBJECT, "");
    }

    int priority() {
        return route.priority();
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    /** Finds the route and makes the first attempt. */
    void start() {
        Optional<RouteTable> table = forwarder.usableTable();
        if (table.isEmpty()) {
            finish(ResultCode.NO_TABLE, "no configuration or no list of endpoints yet");
            return;
        }
        configurationVersion = table.get().version();
        Optional<Route> match = table.get().match(head.headers().get(HttpHeaderNames.HOST, ""), head.uri());
        if (match.isEmpty()) {
            finish(ResultCode.UNKNOWN_SERVICE, "no route");
            return;
        }
        route = match.get();
        if (id.isEmpty()) {
            finish(ResultCode.BAD_REQUEST, "no request id");
            return;
        }
        service = forwarder.chooseService(route);
        traffic = forwarder.traffic(service, route);
        traffic.arrived(object, arrivedNanos);
        long allowedMillis = Math.min(remainingMillisOfCaller(), route.timeoutMillis());
        deadlineNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(allowedMillis);
        long untilDeadline = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        timer = forwarder.loop().after(untilDeadline + ANSWER_GRACE_MILLIS, this::deadlinePassed);
        attempt();
    }

    private long remainingMillisOfCaller() {
        String value = head.headers().get(RequestHeaders.REMAINING_MILLIS);
        if (value == null) {
            return route.timeoutMillis();
        }
        try {
            return Math.max(0, (long) Double.parseDouble(value));
        } catch (NumberFormatException e) {
            return route.timeoutMillis();
        }
    }

    private void attempt() {
        if (tryNow()) {
            return;
        }
        waiting = true;
        traffic.await(this);
        forwarder.loop().after((long) (HOLD_PART * route.targetLatencyMillis()), this::freeHoldEnded);
        forwarder.loop().after((long) (MAX_HOLD_PART * route.timeoutMillis()), this::holdEnded);
    }

    /** From now on a late answer is better than none. */
    private void freeHoldEnded() {
        if (waiting) {
            acceptLate = true;
            if (tryNow()) {
                traffic.leave(this);
            }
        }
    }

    private void holdEnded() {
        if (waiting) {
            traffic.leave(this);
            waiting = false;
            refuse(ResultCode.QUEUE_FULL, "no endpoint had room while the request waited");
        }
    }

    /** Sends the request if an endpoint has room; returns false if it has to wait. */
    boolean tryNow() {
        if (finished) {
            waiting = false;
            return true;
        }
        long now = System.nanoTime();
        Requirements requirements = new Requirements(
                service,
                object,
                route.kind() == RequestKind.DOWNLOAD,
                excluded,
                forwarder.coldRate(service),
                forwarder::mayWarm);
        if (region.isEmpty()) {
            region = traffic.shares().next(object, route::mayRunIn);
        }
        Optional<Choice> choice = choose(requirements, now);
        if (choice.isEmpty()
                || !hasRoom(choice.get(), now)
                || !forwarder.picker().tryTake(choice.get(), requirements, now)) {
            return false;
        }
        waiting = false;
        send(choice.get(), now);
        return true;
    }

    /** Chooses in the planned region, or elsewhere if that has no usable endpoint; a busy region keeps its requests. */
    private Optional<Choice> choose(Requirements requirements, long now) {
        Optional<Choice> planned = forwarder.picker().pick(requirements, region, traffic.times(), now);
        if (planned.isPresent()) {
            return planned;
        }
        for (String other : forwarder.regions()) {
            if (route.mayRunIn(other) && !other.equals(region)) {
                Optional<Choice> choice = forwarder.picker().pick(requirements, other, traffic.times(), now);
                if (choice.isPresent()) {
                    return choice;
                }
            }
        }
        return Optional.empty();
    }

    /** Returns whether the endpoint has a free slot or is expected to answer early enough. */
    private boolean hasRoom(Choice choice, long now) {
        if (choice.queueWaitMillis() <= 0) {
            return true;
        }
        double elapsed = (now - arrivedNanos) / NANOS_PER_MILLI;
        double predicted = elapsed
                + forwarder.roundTripMillis(choice.endpoint().entry().region())
                + choice.queueWaitMillis()
                + choice.processingMillis();
        double limit = acceptLate ? LATE_PART * route.timeoutMillis() : route.targetLatencyMillis();
        return predicted <= limit;
    }

    private void send(Choice choice, long now) {
        EndpointStatus endpoint = choice.endpoint();
        String endpointId = endpoint.entry().id();
        sends++;
        step(
                "send to %s load %.1f/%d wait %.0f work %.0f",
                endpointId,
                endpoint.load(now),
                endpoint.entry().slots(),
                choice.queueWaitMillis(),
                choice.processingMillis());
        endpoint.requestSent(object, now);
        forwarder.registry().health().tried(endpointId, now);
        inFlightAt = endpoint;
        forwarder.pool().acquire(endpoint, (connection, reason) -> {
            if (connection != null && !connection.isUsed()) {
                forwarder.connected(endpoint.entry().region(), (System.nanoTime() - now) / NANOS_PER_MILLI);
            }
            connected(choice, connection, reason);
        });
    }

    private void connected(Choice choice, OutboundConnection connection, String reason) {
        EndpointStatus endpoint = choice.endpoint();
        if (finished) {
            endpoint.requestEnded();
            if (connection != null) {
                forwarder.pool().release(endpoint, connection);
                connection.close();
            }
            return;
        }
        if (connection == null) {
            ended(endpoint);
            failed(endpoint, new OutboundFailure(false, "connect: " + reason));
            return;
        }
        long now = System.nanoTime();
        long remaining = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - now);
        if (remaining <= 0 || !forwarder.registry().isUsable(endpoint)) {
            ended(endpoint);
            forwarder.pool().release(endpoint, connection);
            connection.close();
            failed(endpoint, new OutboundFailure(false, "the endpoint left or the deadline passed while connecting"));
            return;
        }
        inFlight = connection;
        mayHaveRun = true;
        runs++;
        connection.send(outbound(endpoint, remaining), id, new OutboundListener() {
            @Override
            public void answered(OutboundAnswer answer) {
                if (inFlight == connection) {
                    inFlight = null;
                }
                ended(endpoint);
                forwarder.pool().release(endpoint, connection);
                Exchange.this.answered(choice, answer, now);
            }

            @Override
            public void failed(OutboundFailure failure) {
                if (inFlight == connection) {
                    inFlight = null;
                }
                if (!failure.mayHaveRun()) {
                    runs--;
                    mayHaveRun = runs > 0;
                }
                ended(endpoint);
                Exchange.this.failed(endpoint, failure);
            }
        });
    }

    private FullHttpRequest outbound(EndpointStatus endpoint, long remainingMillis) {
        HttpHeaders headers = ForwardedHeaders.copyOf(head.headers());
        headers.set(RequestHeaders.REMAINING_MILLIS, remainingMillis);
        headers.set(RequestHeaders.EXPECTED_ENDPOINT, endpoint.entry().id());
        boolean hasBody = body.isReadable() || HttpUtil.isTransferEncodingChunked(head);
        if (hasBody || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                head.method(),
                head.uri(),
                body.retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    private void ended(EndpointStatus endpoint) {
        endpoint.requestEnded();
        if (inFlightAt == endpoint) {
            inFlightAt = null;
        }
        traffic.offerRoom();
    }

    private void answered(Choice choice, OutboundAnswer answer, long sentNanos) {
        EndpointStatus endpoint = choice.endpoint();
        String endpointId = endpoint.entry().id();
        long now = System.nanoTime();
        HttpHeaders headers = answer.headers();
        LoadHeader.parse(headers.get(RequestHeaders.LOAD))
                .ifPresent(load -> endpoint.loadReported(load.running(), load.waiting(), now));
        if (headers.contains(RequestHeaders.NOT_RUN) || answer.status() == MISDIRECTED) {
            answer.body().release();
            runs--;
            mayHaveRun = runs > 0;
            step("%s did not run it: status %d", endpointId, answer.status());
            failedBefore(endpoint, "status " + answer.status());
            return;
        }
        boolean signed = headers.contains(RequestHeaders.ENDPOINT_SIGNATURE);
        boolean success = answer.status() <= LAST_SUCCESS;
        boolean promise = PROMISES.contains(answer.status());
        if ((success && !signed) || promise) {
            answer.body().release();
            failed(endpoint, new OutboundFailure(true, "unusable answer, status " + answer.status()));
            return;
        }
        if (answer.status() >= FIRST_SERVER_ERROR) {
            forwarder.registry().health().failed(endpointId, now);
            if (mayRepeat()) {
                answer.body().release();
                step("%s failed: status %d", endpointId, answer.status());
                excluded.add(endpointId);
                attempt();
                return;
            }
        } else {
            forwarder.registry().health().succeeded(endpointId, now);
            learn(choice, (now - sentNanos) / NANOS_PER_MILLI);
        }
        deliver(endpoint, answer);
    }

    private void learn(Choice choice, double millis) {
        if (choice.queueWaitMillis() > 0) {
            return;
        }
        String region = choice.endpoint().entry().region();
        double work = Math.max(1, millis - forwarder.roundTripMillis(region));
        choice.endpoint().responseReceived(work, traffic.times().expectedMillis(choice.expectedCached()));
        traffic.times().add(choice.expectedCached(), work);
    }

    /** The endpoint did not run the request. */
    private void failedBefore(EndpointStatus endpoint, String reason) {
        excluded.add(endpoint.entry().id());
        if (finished) {
            return;
        }
        long now = System.nanoTime();
        if (sends < MAX_SENDS && traffic.retries().tryRetry(forwarder.hosts(), now)) {
            attempt();
        } else {
            refuse(ResultCode.UPSTREAM_REFUSED, reason);
        }
    }

    private void failed(EndpointStatus endpoint, OutboundFailure failure) {
        String endpointId = endpoint.entry().id();
        forwarder.registry().health().failed(endpointId, System.nanoTime());
        excluded.add(endpointId);
        step("%s: %s", endpointId, failure.reason());
        if (finished) {
            return;
        }
        if (!failure.mayHaveRun()) {
            failedBefore(endpoint, failure.reason());
        } else if (mayRepeat()) {
            attempt();
        } else {
            finish(ResultCode.CONNECTION_LOST, failure.reason());
        }
    }

    /** Takes a repeat from the budgets if the request may run again. */
    private boolean mayRepeat() {
        return !finished
                && route.kind().idempotent()
                && runs < route.maxAttempts()
                && sends < MAX_SENDS
                && System.nanoTime() - deadlineNanos < 0
                && traffic.retries().tryRetry(forwarder.hosts(), System.nanoTime());
    }

    private void deadlinePassed() {
        if (finished) {
            return;
        }
        if (mayHaveRun) {
            finish(ResultCode.TIMED_OUT, "no answer before the deadline");
        } else {
            refuse(ResultCode.EXPIRED_IN_QUEUE, "the deadline passed before the request was sent");
        }
    }

    /** The caller closed its connection; idempotent work is cancelled, other work runs to its end. */
    void callerLeft() {
        if (finished) {
            return;
        }
        if (route != null && !route.kind().idempotent() && inFlight != null) {
            // Closing would leave a confirmation half done; its answer is dropped.
            inFlight = null;
        }
        end(mayHaveRun ? ResultCode.CALLER_LEFT : ResultCode.CANCELLED_IN_QUEUE, 0, "the caller left");
    }

    private void deliver(EndpointStatus endpoint, OutboundAnswer answer) {
        if (finished) {
            answer.body().release();
            return;
        }
        end(ResultCode.ANSWERED, answer.status(), endpoint.entry().id());
        HttpHeaders headers = ForwardedHeaders.copyOf(answer.headers());
        boolean answeredHead = head.method().equals(HttpMethod.HEAD);
        if (answeredHead && answer.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.headers().get(HttpHeaderNames.CONTENT_LENGTH));
        }
        caller.answer(answer.status(), headers, answer.body(), answeredHead);
    }

    private void refuse(ResultCode code, String reason) {
        if (mayHaveRun) {
            finish(ResultCode.CONNECTION_LOST, reason);
        } else {
            finish(code, reason);
        }
    }

    private void finish(ResultCode code, String reason) {
        if (finished) {
            return;
        }
        end(code, code.httpStatus(), reason);
        HttpHeaders headers = Answers.jsonHeaders();
        if (!id.isEmpty()) {
            headers.set(RequestHeaders.REQUEST_ID, id);
        }
        if (code.outcome() == Outcome.NOT_RUN
                && code.httpStatus() > BAD_REQUEST
                && PROMISES.contains(code.httpStatus())) {
            headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterSeconds()));
        }
        ByteBuf content = Unpooled.copiedBuffer(Answers.body(code, ""), StandardCharsets.UTF_8);
        caller.answer(code.httpStatus(), headers, content, false);
    }

    /** Returns the time in which a few of the requests at the endpoints end. */
    private double retryAfterSeconds() {
        if (traffic == null) {
            return 2 * MIN_RETRY_AFTER_SECONDS;
        }
        return Math.max(MIN_RETRY_AFTER_SECONDS, traffic.times().expectedMillis(true) / 1000);
    }

    private void end(ResultCode code, int status, String reason) {
        finished = true;
        if (timer != null) {
            timer.cancel();
        }
        if (waiting) {
            traffic.leave(this);
            waiting = false;
        }
        if (inFlight != null) {
            OutboundConnection cancelled = inFlight;
            inFlight = null;
            cancelled.close();
            if (inFlightAt != null) {
                ended(inFlightAt);
            }
        }
        body.release();
        forwarder.ended();
        double millis = millisSince(arrivedNanos);
        String routeName = route == null ? "" : route.name();
        forwarder.metrics().count("carawaylift.requests", "code", code.name(), "route", routeName);
        forwarder.metrics().time("carawaylift.request.duration", (long) (millis * NANOS_PER_MILLI), "route", routeName);
        forwarder
                .log()
                .event(
                        "request",
                        line -> line.put("id", id)
                                .put("route", routeName)
                                .put("service", service)
                                .put("version", configurationVersion)
                                .put("object", object)
                                .put("code", code.number())
                                .put("status", status)
                                .put("ms", millis)
                                .put("steps", String.join("; ", steps))
                                .put("reason", reason));
    }

    private void step(String format, Object... values) {
        steps.add(String.format(Locale.ROOT, "%.0f ms: ", millisSince(arrivedNanos))
                + String.format(Locale.ROOT, format, values));
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MILLI;
    }
}
