package io.carawaylift.testing.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs the requests of a traffic generator through one policy in virtual time. */
final class Simulation {
    private final PriorityQueue<Completion> completions =
            new PriorityQueue<>(Comparator.comparingLong(Completion::atNanos)
                    .thenComparingLong(completion -> completion.request().id()));
    private final Policy policy;
    private final Traffic traffic;
    private final RunMetrics metrics;
    private final int[] inFlight;
    private long nowNanos;

    Simulation(ServiceSize size, Policy policy, Traffic traffic, RunMetrics metrics) {
        this.policy = policy;
        this.traffic = traffic;
        this.metrics = metrics;
        inFlight = new int[size.endpoints()];
    }

    /** Runs until all requests have completed. */
    void run() {
        Request next = traffic.next();
        while (next != null || !completions.isEmpty()) {
            boolean completes = !completions.isEmpty()
                    && (next == null || completions.peek().atNanos() <= next.arrivalNanos());
            if (completes) {
                complete(completions.poll());
            } else {
                nowNanos = next.arrivalNanos();
                metrics.recordArrival(next);
                policy.arrived(next, this);
                next = traffic.next();
            }
            metrics.recordWaiting(policy.waiting(), nowNanos);
        }
    }

    long nowNanos() {
        return nowNanos;
    }

    int inFlight(int endpoint) {
        return inFlight[endpoint];
    }

    /** Counts a request as sent to an endpoint. */
    void send(int endpoint) {
        inFlight[endpoint]++;
        metrics.recordInFlight(inFlight[endpoint]);
    }

    /** Schedules the completion of a request that was sent to an endpoint, after its service time. */
    void execute(Request request, int endpoint) {
        completions.add(new Completion(request, endpoint, nowNanos + request.serviceNanos()));
    }

    /** Reverses {@link #send} for a request that the endpoint refused. */
    void requestRefused(int endpoint) {
        inFlight[endpoint]--;
    }

    private void complete(Completion completion) {
        nowNanos = completion.atNanos();
        inFlight[completion.endpoint()]--;
        metrics.recordCompletion(completion.request(), nowNanos);
        policy.finished(completion.request(), completion.endpoint(), this);
    }

    private record Completion(Request request, int endpoint, long atNanos) {}
}
