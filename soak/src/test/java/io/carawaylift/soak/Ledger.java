package io.carawaylift.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** What callers and endpoints saw of each request, and the promises that it breaks. Times are monotonic. Thread-safe. */
final class Ledger {
    private static final int MISDIRECTED = 421;
    private static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, MISDIRECTED, 429, 503);

    /** A connection may end without an answer this long after a request was sent that crossed the close. */
    private static final long CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time after the store accepted an endpoint's leaving in which requests may still reach it. */
    private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    /** Time without a disturbance after which a host is held to times. */
    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * How an attempt ended.
     *
     * @param status 0 if the connection ended without an answer
     */
    private record Ending(int status, long nanos, String wrong) {}

    private record Attempt(String path, boolean unsafe, int host, long sentNanos) {}

    private record Run(String endpoint, String path, long nanos) {}

    private record Disturbance(int host, long fromNanos, long toNanos) {}

    private final Map<String, Attempt> attempts = new ConcurrentHashMap<>();
    private final Map<String, Ending> endings = new ConcurrentHashMap<>();
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final Map<String, Long> left = new ConcurrentHashMap<>();
    private final List<Disturbance> disturbances = new CopyOnWriteArrayList<>();
    private final List<String> broken = new CopyOnWriteArrayList<>();

    /** A caller is about to send a request to a host. */
    void sending(String id, String path, boolean unsafe, int host) {
        attempts.put(id, new Attempt(path, unsafe, host, System.nanoTime()));
    }

    /** An attempt ended; {@code wrong} says what is wrong with the answer, empty if nothing is. */
    void ended(String id, int status, String wrong) {
        endings.put(id, new Ending(status, System.nanoTime(), wrong));
    }

    /** An endpoint begins to work on a request. */
    void running(String id, String endpoint, String path) {
        runs.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(new Run(endpoint, path, System.nanoTime()));
    }

    /** The store accepted that an endpoint gets nothing from now on. */
    void leaving(String endpoint) {
        left.putIfAbsent(endpoint, System.nanoTime());
    }

    /** An endpoint may be used again. */
    void returned(String endpoint) {
        left.remove(endpoint);
    }

    /** A host, or all for a negative number, is disturbed from now for a time. */
    void disturbed(int host, long millis) {
        long now = System.nanoTime();
        disturbances.add(new Disturbance(host, now, now + TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    /** Notes something that is broken whatever the requests show. */
    void broken(String what) {
        broken.add(what);
    }

    int attempts() {
        return attempts.size();
    }

    long answered() {
        return endings.values().stream()
                .filter(ending -> ending.status() == 200)
                .count();
    }

    /** Returns the broken promises; to be called when nothing runs any more. */
    List<String> check(boolean plannedOnly) {
        List<String> found = new ArrayList<>(broken);
        runs.forEach((id, list) -> checkRuns(id, list, found));
        endings.forEach((id, ending) -> checkEnding(id, ending, plannedOnly, found));
        return found;
    }

    private void checkRuns(String id, List<Run> list, List<String> found) {
        Attempt attempt = attempts.get(id);
        if (attempt == null) {
            found.add("request " + id + " ran although no caller sent it");
            return;
        }
        if (attempt.unsafe() && list.size() > 1) {
            found.add("request " + id + " of a kind that may run once ran at " + list);
        }
        for (Run run : list) {
            if (!run.path().equals(attempt.path())) {
                found.add("request " + id + " for " + attempt.path() + " ran as " + run.path());
            }
            Long leftNanos = left.get(run.endpoint());
            boolean late = leftNanos != null && run.nanos() - leftNanos > DRAIN_NANOS;
            if (late && isCalm(attempt.host(), leftNanos, run.nanos())) {
                found.add("request %s reached %s %d ms after it left"
                        .formatted(id, run.endpoint(), TimeUnit.NANOSECONDS.toMillis(run.nanos() - leftNanos)));
            }
        }
    }

    private void checkEnding(String id, Ending ending, boolean plannedOnly, List<String> found) {
        Attempt attempt = attempts.get(id);
        List<Run> list = runs.getOrDefault(id, List.of());
        if (!ending.wrong().isEmpty()) {
            found.add("request " + id + ": " + ending.wrong());
        }
        if (attempt.unsafe() && PROMISES_NOT_RUN.contains(ending.status()) && !list.isEmpty()) {
            found.add("request " + id + " was answered " + ending.status() + " and ran at " + list);
        }
        if (ending.status() == 404 || ending.status() == 400) {
            found.add("request " + id + " for " + attempt.path() + " was answered " + ending.status());
        }
        boolean lost =
                ending.status() == 0 && (!list.isEmpty() || ending.nanos() - attempt.sentNanos() > CROSSING_NANOS);
        if (plannedOnly && (lost || ending.status() == 502 || ending.status() == 504)) {
            found.add("request " + id + " was lost to planned work: status " + ending.status() + " of host "
                    + attempt.host() + " after "
                    + TimeUnit.NANOSECONDS.toMillis(ending.nanos() - attempt.sentNanos()) + " ms, ran at " + list);
        }
    }

    private boolean isCalm(int host, long fromNanos, long toNanos) {
        return disturbances.stream()
                .noneMatch(each -> (each.host() < 0 || each.host() == host)
                        && each.toNanos() - (fromNanos - CALM_NANOS) > 0
                        && each.fromNanos() - toNanos < 0);
    }
}
