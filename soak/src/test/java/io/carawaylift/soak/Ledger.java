package io.carawaylift.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Records what callers and endpoints observed of each request and finds the guarantees that were violated. Times are monotonic.
 * Thread-safe.
 */
final class Ledger {
    private static final int MISDIRECTED = 421;
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, MISDIRECTED, 429, 503);

    /** A request that did not run may be lost if its connection closes this soon after it was sent: the two crossed. */
    private static final long CLOSE_RACE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Duration for which requests may still reach an endpoint after the store accepted that it drains. */
    private static final long MAX_DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    /** Duration without a disturbance after which a host must keep {@link #MAX_DRAIN_NANOS}. */
    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * The outcome of an attempt.
     *
     * @param status 0 if the connection ended without a response
     * @param problem what is wrong with the response, empty if nothing is
     */
    private record Outcome(int status, long nanos, String problem) {}

    private record Attempt(String path, boolean unsafe, int host, long sentNanos) {}

    private record Run(String endpoint, String path, long nanos) {}

    private record Disturbance(int host, long fromNanos, long toNanos) {}

    private final Map<String, Attempt> attempts = new ConcurrentHashMap<>();
    private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final Map<String, Long> drainStartNanos = new ConcurrentHashMap<>();
    private final List<Disturbance> disturbances = new CopyOnWriteArrayList<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();

    /** Records that a caller is about to send a request to a host. */
    void recordSent(String id, String path, boolean unsafe, int host) {
        attempts.put(id, new Attempt(path, unsafe, host, System.nanoTime()));
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param status 0 if there was no response
     * @param problem what is wrong with the response, empty if nothing is
     */
    void recordOutcome(String id, int status, String problem) {
        outcomes.put(id, new Outcome(status, System.nanoTime(), problem));
    }

    /** Records that an endpoint starts to run a request. */
    void recordRun(String id, String endpoint, String path) {
        runs.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(new Run(endpoint, path, System.nanoTime()));
    }

    /** Records that the store accepted that an endpoint drains and gets no new requests. */
    void recordDraining(String endpoint) {
        drainStartNanos.putIfAbsent(endpoint, System.nanoTime());
    }

    /** Records that an endpoint may get requests again. */
    void recordReturned(String endpoint) {
        drainStartNanos.remove(endpoint);
    }

    /** Records that a host, or all hosts for a negative number, is disturbed from now on for a duration. */
    void recordDisturbance(int host, long millis) {
        long now = System.nanoTime();
        disturbances.add(new Disturbance(host, now, now + TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    /** Records a violation that the requests do not show. */
    void recordViolation(String description) {
        violations.add(description);
    }

    int attempts() {
        return attempts.size();
    }

    long successes() {
        return outcomes.values().stream()
                .filter(outcome -> outcome.status() == 200)
                .count();
    }

    /** Returns all violations, each with what was observed. Call it only after callers and endpoints have stopped. */
    List<String> violations(boolean plannedOnly) {
        List<String> found = new ArrayList<>(violations);
        runs.forEach((id, requestRuns) -> checkRuns(id, requestRuns, found));
        outcomes.forEach((id, outcome) -> checkOutcome(id, outcome, plannedOnly, found));
        return found;
    }

    private void checkRuns(String id, List<Run> requestRuns, List<String> found) {
        Attempt attempt = attempts.get(id);
        if (attempt == null) {
            found.add("request " + id + " ran but no caller sent it");
            return;
        }
        if (attempt.unsafe() && requestRuns.size() > 1) {
            found.add("request " + id + " may run at most once but ran at " + requestRuns);
        }
        for (Run run : requestRuns) {
            if (!run.path().equals(attempt.path())) {
                found.add("request " + id + " for " + attempt.path() + " ran as " + run.path());
            }
            Long startNanos = drainStartNanos.get(run.endpoint());
            boolean late = startNanos != null && run.nanos() - startNanos > MAX_DRAIN_NANOS;
            if (late && isUndisturbed(attempt.host(), startNanos, run.nanos())) {
                found.add("request %s reached %s %d ms after it started draining"
                        .formatted(id, run.endpoint(), TimeUnit.NANOSECONDS.toMillis(run.nanos() - startNanos)));
            }
        }
    }

    private void checkOutcome(String id, Outcome outcome, boolean plannedOnly, List<String> found) {
        Attempt attempt = attempts.get(id);
        List<Run> requestRuns = runs.getOrDefault(id, List.of());
        if (!outcome.problem().isEmpty()) {
            found.add("request " + id + ": " + outcome.problem());
        }
        if (attempt.unsafe() && NOT_RUN_STATUSES.contains(outcome.status()) && !requestRuns.isEmpty()) {
            found.add("request " + id + " got status " + outcome.status() + ", which means not run, but ran at "
                    + requestRuns);
        }
        if (outcome.status() == 404 || outcome.status() == 400) {
            found.add("request " + id + " for " + attempt.path() + " got unexpected status " + outcome.status());
        }
        boolean lost = outcome.status() == 0
                && (!requestRuns.isEmpty() || outcome.nanos() - attempt.sentNanos() > CLOSE_RACE_NANOS);
        if (plannedOnly && (lost || outcome.status() == 502 || outcome.status() == 504)) {
            found.add("request " + id + " was lost during planned work: status " + outcome.status() + " from host "
                    + attempt.host() + " after "
                    + TimeUnit.NANOSECONDS.toMillis(outcome.nanos() - attempt.sentNanos()) + " ms, ran at "
                    + requestRuns);
        }
    }

    private boolean isUndisturbed(int host, long fromNanos, long toNanos) {
        return disturbances.stream()
                .noneMatch(each -> (each.host() < 0 || each.host() == host)
                        && each.toNanos() - (fromNanos - SETTLE_NANOS) > 0
                        && each.fromNanos() - toNanos < 0);
    }
}
