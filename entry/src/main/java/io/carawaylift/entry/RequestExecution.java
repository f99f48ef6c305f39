package io.carawaylift.entry;

import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.entry.AttemptResult.Unknown;
import io.carawaylift.model.ResultCode;
import io.netty.util.HashedWheelTimer;
import io.netty.util.Timeout;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Runs one request at the entry process that chooses its route, with retries and hedged attempts. The receiver gets
 * exactly one result. Thread-safe.
 */
final class RequestExecution {
    private static final int MAX_ATTEMPTS = 3;

    private final InboundRequest request;
    private final Dependencies dependencies;
    private final RequestTrace trace;
    private final ResultReceiver receiver;
    private final ServiceSteering service;

    private final Set<OwnerRoute> excluded = new HashSet<>();
    private final List<Attempt> inFlight = new ArrayList<>();
    private Unknown unknownResult;
    private Timeout hedge;
    private int startedAttempts;
    private boolean finished;

    /** Components that an execution uses. */
    record Dependencies(Steering steering, QueueShards queueShards, HashedWheelTimer timer, LongSupplier clock) {}

    RequestExecution(InboundRequest request, Dependencies dependencies, RequestTrace trace, ResultReceiver receiver) {
        this.request = request;
        this.dependencies = dependencies;
        this.trace = trace;
        this.receiver = receiver;
        this.service = dependencies.steering().service(request.service());
    }

    /** Starts the first attempt of a caller's request. */
    void start() {
        service.firstAttempt();
        if (!startAttempt(false)) {
            failIfLast(
                    Refused.of(ResultCode.NO_UPSTREAM, "no upstream of service " + request.service() + " is usable"));
        } else if (request.idempotent()) {
            scheduleHedge();
        }
    }

    /** Starts an attempt that counts as a retry, to fetch the remainder of a response. */
    void startAsRetry() {
        if (!startAttempt(true)) {
            failIfLast(Refused.of(ResultCode.NO_UPSTREAM, "no upstream or no retry is left"));
        }
    }

    /** Cancels all attempts of an idempotent request whose caller disconnected. */
    void cancel() {
        List<Attempt> all;
        synchronized (this) {
            finished = true;
            all = List.copyOf(inFlight);
            cancelHedge();
        }
        all.forEach(Attempt::cancel);
    }

    /** Cancels the attempts that wait in a queue of this process, so that the request ends as not run. */
    void cancelQueued() {
        List<Attempt> all;
        synchronized (this) {
            all = List.copyOf(inFlight);
        }
        all.forEach(Attempt::cancelQueued);
    }

    private boolean startAttempt(boolean retry) {
        Optional<OwnerRoute> route = dependencies.steering().choose(request, excludedOrInFlightRoutes());
        if (route.isEmpty() && retry) {
            route = dependencies.steering().choose(request, excludedRoutes());
        }
        if (route.isEmpty() || (retry && !service.tryRetry())) {
            return false;
        }
        Attempt attempt;
        synchronized (this) {
            if (finished) {
                return false;
            }
            startedAttempts++;
            attempt = new Attempt(route.get(), startedAttempts);
            inFlight.add(attempt);
        }
        attempt.start();
        return true;
    }

    private synchronized Set<OwnerRoute> excludedRoutes() {
        return Set.copyOf(excluded);
    }

    /** Returns the routes that failed or are in use, so that a hedged attempt prefers another one. */
    private synchronized Set<OwnerRoute> excludedOrInFlightRoutes() {
        Set<OwnerRoute> routes = new HashSet<>(excluded);
        inFlight.forEach(attempt -> routes.add(attempt.route));
        return routes;
    }

    private void attemptEnded(Attempt attempt, AttemptResult result) {
        trace.addAttempt(attempt.route, attempt.waitNanos(), result);
        List<Attempt> losers;
        synchronized (this) {
            inFlight.remove(attempt);
            if (finished) {
                return;
            }
            excluded.add(attempt.route);
            if (result instanceof Unknown unknownOutcome) {
                unknownResult = unknownOutcome;
            }
            finished = result instanceof Answered;
            losers = List.copyOf(inFlight);
        }
        if (result instanceof Answered) {
            service.recordLatency(dependencies.clock().getAsLong() - request.receivedNanos());
            losers.forEach(Attempt::cancel);
            deliver(result);
        } else if (!isRetryable(result) || !startAttempt(true)) {
            failIfLast(result);
        }
    }

    private synchronized boolean isRetryable(AttemptResult result) {
        if (finished
                || startedAttempts >= MAX_ATTEMPTS
                || dependencies.clock().getAsLong() >= request.deadlineNanos()) {
            return false;
        }
        return switch (result.code()) {
            case QUEUE_FULL,
                    DISPLACED,
                    DEADLINE_TOO_SHORT,
                    UPSTREAM_REFUSED,
                    CONNECT_FAILED,
                    NOT_OWNER,
                    NO_UPSTREAM,
                    NO_TABLE,
                    STOPPING -> true;
            case CONNECTION_LOST, ANSWER_CUT -> request.idempotent();
            default -> false;
        };
    }

    /**
     * Delivers a failure unless another attempt is in flight. If any attempt ended as unknown, the request never ends
     * as not run.
     */
    private void failIfLast(AttemptResult result) {
        AttemptResult last;
        synchronized (this) {
            if (finished || !inFlight.isEmpty()) {
                return;
            }
            finished = true;
            last = unknownResult == null ? result : unknownResult;
        }
        deliver(last);
    }

    private void deliver(AttemptResult result) {
        synchronized (this) {
            cancelHedge();
        }
        receiver.accept(result);
    }

    private synchronized void scheduleHedge() {
        if (!finished) {
            hedge = dependencies
                    .timer()
                    .newTimeout(timeout -> startHedge(), service.hedgeDelayNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void startHedge() {
        synchronized (this) {
            if (finished || inFlight.size() != 1 || startedAttempts >= MAX_ATTEMPTS) {
                return;
            }
        }
        startAttempt(true);
    }

    private synchronized void cancelHedge() {
        if (hedge != null) {
            hedge.cancel();
        }
    }

    /** One attempt on one route. */
    private final class Attempt {
        private final OwnerRoute route;
        private final int number;
        private RunningAttempt running = FinishedAttempt.INSTANCE;
        private boolean cancelled;

        Attempt(OwnerRoute route, int number) {
            this.route = route;
            this.number = number;
        }

        void start() {
            int attemptNumber = Math.max(number, request.attempt());
            RunningAttempt submitted = dependencies
                    .queueShards()
                    .send(route, request.asAttempt(attemptNumber), result -> attemptEnded(this, result));
            boolean cancelNow;
            synchronized (this) {
                running = submitted;
                cancelNow = cancelled;
            }
            if (cancelNow) {
                submitted.cancel();
            }
        }

        void cancel() {
            RunningAttempt current;
            synchronized (this) {
                cancelled = true;
                current = running;
            }
            current.cancel();
        }

        void cancelQueued() {
            RunningAttempt current;
            synchronized (this) {
                current = running;
            }
            current.cancelQueued();
        }

        synchronized long waitNanos() {
            return running.waitNanos();
        }
    }
}
