package io.carawaylift.host;

import io.carawaylift.decisions.customer.Authorization;
import io.carawaylift.decisions.customer.Customer;
import io.carawaylift.decisions.dispatch.DispatchRequest;
import io.carawaylift.decisions.dispatch.RouteLoad;
import io.carawaylift.decisions.dispatch.ServiceDispatcher;
import io.carawaylift.decisions.dispatch.ServiceDispatcher.Decision;
import io.carawaylift.decisions.fleet.EndpointEntry;
import io.carawaylift.decisions.fleet.EndpointPicker.Choice;
import io.carawaylift.decisions.fleet.EndpointStatus;
import io.carawaylift.decisions.route.RequestKind;
import io.carawaylift.decisions.route.Route;
import io.carawaylift.decisions.route.RouteTable;
import io.carawaylift.host.quota.QuotaPermit;
import io.carawaylift.model.Outcome;
import io.carawaylift.model.ResultCode;
import io.carawaylift.platform.store.LoadHeader;
import io.carawaylift.platform.store.RequestHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A request of a caller from its arrival to its response. Retries it at other endpoints where that is safe. Used on the
 * event loop only.
 */
final class CallerRequest {
    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Time after the deadline in which a response may still arrive: an endpoint stops work at the deadline and reports
     * that.
     */
    private static final long RESPONSE_GRACE_MILLIS = 150;

    /** Max sends of a request, including those that an endpoint rejected without running it. */
    private static final int MAX_SENDS = 3;

    /** Value of the Retry-After header while the configuration is not known yet. */
    private static final double UNKNOWN_RETRY_AFTER_SECONDS = 0.4;

    private static final double MILLIS_PER_SECOND = 1e3;

    private static final int BAD_REQUEST_STATUS = 400;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int MAX_SUCCESS_STATUS = 299;
    private static final int MISDIRECTED_STATUS = 421;

    /** Statuses that guarantee to a caller that the request has not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, MISDIRECTED_STATUS, 429, 503);

    private final Forwarder forwarder;
    private final CallerExchange caller;
    private final HttpRequest head;
    private final BodyBuffer body;
    private final long arrivedNanos;
    private final String id;
    private final String object;
    private final RequestSteps steps;
    private Route route;
    private RequestAccess access;
    private Optional<Customer> customer = Optional.empty();
    private long configurationVersion;
    private String service = "";
    private ServiceTraffic traffic;
    private RouteLoad routeLoad;
    private long deadlineNanos;
    private HostLoop.Timer timer;
    private QuotaPermit quotaPermit = QuotaPermit.UNLIMITED;
    private boolean finished;
    private boolean queued;
    private DispatchRequest dispatch;
    private boolean mayHaveRun;
    private int runs;
    private int sends;
    private OutboundConnection inFlightConnection;
    private EndpointStatus inFlightEndpoint;

    CallerRequest(Forwarder forwarder, CallerExchange caller, HttpRequest head, BodyBuffer body, long arrivedNanos) {
        this.forwarder = forwarder;
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.arrivedNanos = arrivedNanos;
        this.steps = new RequestSteps(arrivedNanos);
        this.id = head.headers().get(RequestHeaders.REQUEST_ID, "");
        this.object = head.headers().get(RequestHeaders.OBJECT, "");
    }

    /** Returns what the dispatch depends on; null before the route is known. */
    DispatchRequest dispatch() {
        return dispatch;
    }

    /** Finds the route and sends or queues the request. */
    void start() {
        if (!forwarder.window().isAccepting()) {
            finish(ResultCode.STOPPING, "the request arrived too late during the stop");
            return;
        }
        Optional<RouteTable> table = forwarder.usableTable();
        if (table.isEmpty()) {
            finish(ResultCode.NO_TABLE, "the configuration or the list of endpoints is not known yet");
            return;
        }
        configurationVersion = table.get().version();
        Optional<Route> match = table.get().match(head.headers().get(HttpHeaderNames.HOST, ""), head.uri());
        if (match.isEmpty()) {
            finish(ResultCode.UNKNOWN_SERVICE, "no route matches");
            return;
        }
        route = match.get();
        access = new RequestAccess(forwarder.access(), route, head.headers().getAll(RequestHeaders.CREDENTIAL));
        Authorization authorization = access.authorization();
        customer = authorization.customer();
        if (refuseIfNoAccess()) {
            return;
        }
        if (id.isEmpty()) {
            finish(ResultCode.BAD_REQUEST, "no request id");
            return;
        }
        quotaPermit = forwarder.quotas().tryAdmit(customer);
        if (!quotaPermit.isGranted()) {
            finish(ResultCode.QUOTA_EXCEEDED, "no permit is expected for " + quotaPermit.waitMillis() + " ms");
            return;
        }
        service = forwarder.chooseService(route);
        traffic = forwarder.traffic(service, route);
        routeLoad = traffic.route(route, arrivedNanos);
        routeLoad.arrived(arrivedNanos);
        // Where no endpoint is faster for an object that it handled, none is preferred.
        String preference = route.sessionAffinity() || !forwarder.isScarce() ? object : "";
        traffic.arrived(preference, arrivedNanos);
        long allowedMillis = Math.min(callerRemainingMillis(), route.timeoutMillis());
        deadlineNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(allowedMillis);
        dispatch = DispatchRequest.builder()
                .object(preference)
                .times(routeLoad.times())
                .customer(customer.map(Customer::name).orElse(""))
                .cost(() -> routeLoad.times().meanMillis())
                .priority(authorization.priority(route.priority()))
                .arrivedNanos(arrivedNanos)
                .targetMillis(route.targetLatencyMillis())
                .timeoutMillis(route.timeoutMillis())
                .deadlineNanos(deadlineNanos)
                .largeResponse(route.kind() == RequestKind.DOWNLOAD)
                .mayRunIn(region -> route.mayRunIn(region) && authorization.mayRunIn(region))
                .build();
        long untilDeadline = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        timer = forwarder.loop().after(untilDeadline + RESPONSE_GRACE_MILLIS, this::deadlinePassed);
        sendOrQueue();
    }

    /** Refuses the request if its key is not valid now; returns whether it did. */
    private boolean refuseIfNoAccess() {
        Optional<ResultCode> refusal = access.refusal();
        refusal.ifPresent(code -> refuse(code, code.meaning()));
        return refusal.isPresent();
    }

    private long callerRemainingMillis() {
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

    private void sendOrQueue() {
        if (trySend()) {
            return;
        }
        queued = true;
        dispatch.waitFrom(System.nanoTime());
        traffic.enqueue(this);
        for (long millis : ServiceDispatcher.decisionTimesMillis(dispatch)) {
            forwarder.loop().after(millis, this::decideAgain);
        }
    }

    private void decideAgain() {
        if (queued && trySend()) {
            traffic.dequeue(this);
        }
    }

    /** Sends or refuses the request; returns false if it has to stay queued. */
    boolean trySend() {
        if (finished) {
            queued = false;
            return true;
        }
        if (refuseIfNoAccess()) {
            queued = false;
            return true;
        }
        long now = System.nanoTime();
        Decision decision = traffic.dispatcher().decide(dispatch, now);
        switch (decision.verdict()) {
            case SEND -> {
                queued = false;
                traffic.recordSent(this);
                send(decision.choice().orElseThrow(), now);
                return true;
            }
            case REFUSE -> {
                queued = false;
                refuse(forwarder.window().isEnding() ? ResultCode.STOPPING : ResultCode.QUEUE_FULL, decision.reason());
                return true;
            }
            case WAIT -> {
                return false;
            }
        }
        return false;
    }

    private void send(Choice choice, long now) {
        EndpointStatus endpoint = choice.endpoint();
        String endpointId = endpoint.entry().id();
        sends++;
        steps.step("send to ")
                .append(endpointId)
                .append(" load ")
                .appendTenths(endpoint.load(now))
                .append("/")
                .append(endpoint.entry().slots())
                .append(" wait ")
                .append(Math.round(choice.queueWaitMillis()))
                .append(" work ")
                .append(Math.round(choice.processingMillis()));
        endpoint.requestSent(dispatch.object(), now);
        forwarder.registry().health().tried(endpointId, now);
        inFlightEndpoint = endpoint;
        forwarder.pool().acquire(endpoint, (connection, reason) -> {
            if (connection != null && !connection.isUsed()) {
                forwarder.recordConnectTime(endpoint.entry().region(), (System.nanoTime() - now) / NANOS_PER_MILLI);
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
            sendEnded(endpoint);
            failed(endpoint, new OutboundFailure(false, "connect: " + reason));
            return;
        }
        long now = System.nanoTime();
        if (endpoint.isSilenced(now) || forwarder.registry().isLeaving(endpoint.entry())) {
            sendEnded(endpoint);
            forwarder.pool().release(endpoint, connection);
            sendElsewhere(endpoint);
            return;
        }
        EndpointEntry entry = endpoint.entry();
        long remaining = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - now);
        if (remaining <= 0 || !forwarder.registry().isUsable(endpoint)) {
            sendEnded(endpoint);
            forwarder.pool().release(endpoint, connection);
            connection.close();
            failed(
                    endpoint,
                    new OutboundFailure(false, "the endpoint became unusable or the deadline passed while connecting"));
            return;
        }
        if (refuseIfNoAccess()) {
            sendEnded(endpoint);
            forwarder.pool().release(endpoint, connection);
            return;
        }
        inFlightConnection = connection;
        if (!mayHaveRun) {
            quotaPermit.sent();
        }
        mayHaveRun = true;
        runs++;
        FullHttpRequest request =
                EndpointRequest.create(head, body.bytes(), endpoint.entry().id(), remaining, customer);
        connection.send(request, id, new OutboundListener() {
            @Override
            public void responseReceived(OutboundResponse response) {
                if (inFlightConnection == connection) {
                    inFlightConnection = null;
                }
                sendEnded(endpoint);
                forwarder.pool().release(endpoint, connection);
                forwarder.pushBack().responseReceived(entry, response.status(), response.headers(), System.nanoTime());
                CallerRequest.this.responseReceived(choice, response, now);
            }

            @Override
            public void failed(OutboundFailure failure) {
                if (inFlightConnection == connection) {
                    inFlightConnection = null;
                }
                if (!failure.mayHaveRun()) {
                    runs--;
                    mayHaveRun = runs > 0;
                }
                sendEnded(endpoint);
                CallerRequest.this.failed(endpoint, failure);
            }
        });
    }

    private void sendEnded(EndpointStatus endpoint) {
        endpoint.requestEnded();
        if (inFlightEndpoint == endpoint) {
            inFlightEndpoint = null;
        }
        traffic.sendQueued();
    }

    private void responseReceived(Choice choice, OutboundResponse response, long sentNanos) {
        EndpointStatus endpoint = choice.endpoint();
        String endpointId = endpoint.entry().id();
        long now = System.nanoTime();
        HttpHeaders headers = response.headers();
        LoadHeader.parse(headers.get(RequestHeaders.LOAD))
                .ifPresent(
                        load -> endpoint.loadReported(load.running(), load.waiting(), load.processingPercent(), now));
        if (headers.contains(RequestHeaders.NOT_RUN) || response.status() == MISDIRECTED_STATUS) {
            response.discard();
            runs--;
            mayHaveRun = runs > 0;
            steps.step(endpointId).append(" did not run it: status ").append(response.status());
            endpoint.outcome(false, now);
            retryNotRun(endpoint, "status " + response.status());
            return;
        }
        boolean signed = headers.contains(RequestHeaders.ENDPOINT_SIGNATURE);
        boolean success = response.status() <= MAX_SUCCESS_STATUS;
        boolean claimsNotRun = NOT_RUN_STATUSES.contains(response.status());
        if ((success && !signed) || claimsNotRun) {
            response.discard();
            failed(endpoint, new OutboundFailure(true, "unusable response, status " + response.status()));
            return;
        }
        if (response.status() >= MIN_SERVER_ERROR_STATUS) {
            forwarder.registry().health().failed(endpointId, now);
            endpoint.outcome(false, now);
            if (tryTakeRetry()) {
                response.discard();
                steps.step(endpointId).append(" failed: status ").append(response.status());
                dispatch.exclude(endpointId);
                sendOrQueue();
                return;
            }
        } else {
            if (forwarder.registry().health().succeeded(endpointId, now)) {
                endpoint.pace().startRamp(now);
            }
            endpoint.outcome(true, now);
            recordProcessingTime(choice, (now - sentNanos) / NANOS_PER_MILLI);
        }
        forwardResponse(endpoint, response);
    }

    private void recordProcessingTime(Choice choice, double millis) {
        if (!choice.slotFree()) {
            return;
        }
        String region = choice.endpoint().entry().region();
        double processingMillis = Math.max(1, millis - forwarder.roundTripMillis(region));
        EndpointStatus endpoint = choice.endpoint();
        long now = System.nanoTime();
        double speed = endpoint.speed(now);
        endpoint.responseReceived(
                processingMillis / speed, routeLoad.times().expectedMillis(choice.expectedCached()), now);
        traffic.recordProcessingTime(routeLoad, choice.expectedCached(), processingMillis, speed);
    }

    /** Sends the request to another endpoint, since the chosen one pushed back before the request was written. */
    private void sendElsewhere(EndpointStatus endpoint) {
        String endpointId = endpoint.entry().id();
        steps.step(endpointId).append(" pushed back before the request was sent");
        dispatch.exclude(endpointId);
        if (sends < MAX_SENDS) {
            sendOrQueue();
        } else {
            refuse(ResultCode.UPSTREAM_REFUSED, "endpoints pushed back");
        }
    }

    /** Retries a request that the endpoint did not run, or refuses it. */
    private void retryNotRun(EndpointStatus endpoint, String reason) {
        dispatch.exclude(endpoint.entry().id());
        if (finished) {
            return;
        }
        long now = System.nanoTime();
        if (sends < MAX_SENDS && traffic.retries().tryRetry(forwarder.hostCount(), now)) {
            sendOrQueue();
        } else {
            refuse(ResultCode.UPSTREAM_REFUSED, reason);
        }
    }

    private void failed(EndpointStatus endpoint, OutboundFailure failure) {
        String endpointId = endpoint.entry().id();
        forwarder.registry().health().failed(endpointId, System.nanoTime());
        endpoint.outcome(false, System.nanoTime());
        dispatch.exclude(endpointId);
        steps.step(endpointId).append(": ").append(failure.reason());
        if (finished) {
            return;
        }
        if (!failure.mayHaveRun()) {
            retryNotRun(endpoint, failure.reason());
        } else if (tryTakeRetry()) {
            sendOrQueue();
        } else {
            finish(ResultCode.CONNECTION_LOST, failure.reason());
        }
    }

    /** Takes a retry from the retry budget; returns false if the request must not run again or no retry is left. */
    private boolean tryTakeRetry() {
        return !finished
                && route.kind().idempotent()
                && runs < route.maxAttempts()
                && sends < MAX_SENDS
                && System.nanoTime() - deadlineNanos < 0
                && traffic.retries().tryRetry(forwarder.hostCount(), System.nanoTime());
    }

    private void deadlinePassed() {
        if (finished) {
            return;
        }
        if (mayHaveRun) {
            finish(ResultCode.TIMED_OUT, "no response before the deadline");
        } else {
            refuse(ResultCode.EXPIRED_IN_QUEUE, "the deadline passed before the request was sent");
        }
    }

    /** Answers the request now, because the host ends. */
    void hostEnds() {
        if (!finished) {
            refuse(ResultCode.STOPPING, "the host ended before the response");
        }
    }

    /** Handles the disconnect of the caller: cancels an idempotent request; any other runs to its end. */
    void callerDisconnected() {
        if (finished) {
            return;
        }
        if (route != null && !route.kind().idempotent() && inFlightConnection != null) {
            // Closing the connection could interrupt a non-idempotent operation halfway, so it stays open until the
            // deadline and the response is dropped.
            OutboundConnection running = inFlightConnection;
            long untilDeadline = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            forwarder.loop().after(untilDeadline + RESPONSE_GRACE_MILLIS, () -> {
                if (running.isServing(id)) {
                    running.abort("no response before the deadline");
                }
            });
            inFlightConnection = null;
        }
        end(mayHaveRun ? ResultCode.CALLER_LEFT : ResultCode.CANCELLED_IN_QUEUE, 0, "the caller disconnected");
    }

    private void forwardResponse(EndpointStatus endpoint, OutboundResponse response) {
        if (finished) {
            response.discard();
            return;
        }
        end(ResultCode.ANSWERED, response.status(), endpoint.entry().id());
        HttpHeaders headers = ForwardedHeaders.copyOf(response.headers());
        if (head.method().equals(HttpMethod.HEAD) && response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, response.headers().get(HttpHeaderNames.CONTENT_LENGTH));
        }
        caller.respond(response.status(), headers, response.body(), response.bodyReleased());
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
        HttpHeaders headers = LocalResponses.jsonHeaders();
        if (!id.isEmpty()) {
            headers.set(RequestHeaders.REQUEST_ID, id);
        }
        if (code.outcome() == Outcome.NOT_RUN
                && code.httpStatus() > BAD_REQUEST_STATUS
                && NOT_RUN_STATUSES.contains(code.httpStatus())) {
            // Another host can take the request at once when this one stops.
            double seconds = code == ResultCode.STOPPING ? 0 : retryAfterSeconds();
            headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", seconds));
        }
        ByteBuf content = Unpooled.copiedBuffer(LocalResponses.body(code, ""), StandardCharsets.UTF_8);
        caller.respond(code.httpStatus(), headers, content, () -> {});
    }

    /** Returns the seconds after which some of the requests at the endpoints are expected to have completed. */
    private double retryAfterSeconds() {
        if (!quotaPermit.isGranted()) {
            return quotaPermit.waitMillis() / MILLIS_PER_SECOND;
        }
        if (traffic == null) {
            return UNKNOWN_RETRY_AFTER_SECONDS;
        }
        return traffic.dispatcher().returnMillis(dispatch, forwarder.randomFraction(), System.nanoTime())
                / MILLIS_PER_SECOND;
    }

    private void end(ResultCode code, int status, String reason) {
        finished = true;
        if (!mayHaveRun) {
            quotaPermit.giveBack();
        }
        if (timer != null) {
            timer.cancel();
        }
        if (queued) {
            traffic.dequeue(this);
            queued = false;
        }
        if (inFlightConnection != null) {
            OutboundConnection cancelled = inFlightConnection;
            inFlightConnection = null;
            cancelled.close();
            if (inFlightEndpoint != null) {
                sendEnded(inFlightEndpoint);
            }
        }
        body.release();
        forwarder.requestEnded();
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
                                .put("customer", customer.map(Customer::name).orElse(""))
                                .put("service", service)
                                .put("version", configurationVersion)
                                .put("object", object)
                                .put("code", code.number())
                                .put("status", status)
                                .put("ms", millis)
                                .put("steps", steps.toString())
                                .put("reason", reason));
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MILLI;
    }
}
