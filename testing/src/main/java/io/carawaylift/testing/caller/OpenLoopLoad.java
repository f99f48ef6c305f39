package io.carawaylift.testing.caller;

import io.carawaylift.model.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Generates an open-loop load: the arrivals of each part follow a Poisson process and do not wait for responses. The
 * duration, the calls in flight and the recorded outcomes are bounded.
 */
public final class OpenLoopLoad {
    private static final int MAX_RECORDED_OUTCOMES = 300_000;
    private static final long DRAIN_TIMEOUT_SECONDS = 30;
    private static final long THREAD_STACK_BYTES = 256 << 10;

    private final Caller caller;
    private final List<LoadPart> parts;
    private final String name;
    private final long seed;
    private final int maxInFlight;
    private final List<PartTally> tallies = new ArrayList<>();
    private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
    private final AtomicInteger threads = new AtomicInteger();
    private volatile boolean stopped;

    /**
     * Creates a load.
     *
     * @param name part of every path; must be unique while the endpoint processes run
     * @param maxInFlight limit of calls in flight per part; further arrivals are counted but not sent, so that overload
     *     of one part does not stop the arrivals of the others
     */
    public OpenLoopLoad(Caller caller, String name, List<LoadPart> parts, long seed, int maxInFlight) {
        this.caller = caller;
        this.name = name;
        this.parts = List.copyOf(parts);
        this.seed = seed;
        this.maxInFlight = maxInFlight;
        parts.forEach(part -> tallies.add(new PartTally(part)));
    }

    /** Runs the load, waits for the last responses, and returns the results in the order of the parts. */
    public List<PartReport> run(double seconds) {
        ExecutorService workers = new ThreadPoolExecutor(
                0, Integer.MAX_VALUE, 1, TimeUnit.SECONDS, new SynchronousQueue<>(), this::newThread);
        generateArrivals(workers, TimeUnit.MILLISECONDS.toNanos((long) (seconds * 1000)));
        workers.shutdown();
        try {
            if (!workers.awaitTermination(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException("calls still in flight after " + DRAIN_TIMEOUT_SECONDS + " s");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return tallies.stream().map(tally -> tally.report(seconds)).toList();
    }

    /** Stops the arrivals early; calls in flight continue. */
    public void stop() {
        stopped = true;
    }

    /** Returns the outcomes by the path that the upstream receives. */
    public Map<String, Outcome> outcomes() {
        return Map.copyOf(outcomes);
    }

    private void generateArrivals(ExecutorService workers, long durationNanos) {
        SplittableRandom random = new SplittableRandom(seed);
        long start = System.nanoTime();
        long[] dueNanos = new long[parts.size()];
        for (int index = 0; index < dueNanos.length; index++) {
            dueNanos[index] = interarrivalNanos(random, index);
        }
        int number = 0;
        while (!stopped) {
            int index = indexOfEarliest(dueNanos);
            if (dueNanos[index] > durationNanos) {
                return;
            }
            waitUntil(start + dueNanos[index]);
            if (tallies.get(index).tryStart(maxInFlight)) {
                workers.execute(new Arrival(parts.get(index), tallies.get(index), number, start + dueNanos[index]));
            }
            number++;
            dueNanos[index] += interarrivalNanos(random, index);
        }
    }

    private long interarrivalNanos(SplittableRandom random, int index) {
        double meanNanos =
                TimeUnit.SECONDS.toNanos(1) / Math.max(0.001, parts.get(index).ratePerSecond());
        return (long) (-Math.log(1 - random.nextDouble()) * meanNanos);
    }

    private static int indexOfEarliest(long[] dueNanos) {
        int earliestIndex = 0;
        for (int index = 1; index < dueNanos.length; index++) {
            if (dueNanos[index] < dueNanos[earliestIndex]) {
                earliestIndex = index;
            }
        }
        return earliestIndex;
    }

    private static void waitUntil(long nanos) {
        for (long remainingNanos = nanos - System.nanoTime();
                remainingNanos > 0;
                remainingNanos = nanos - System.nanoTime()) {
            LockSupport.parkNanos(remainingNanos);
        }
    }

    private Thread newThread(Runnable work) {
        Thread thread = new Thread(null, work, "caller-" + threads.incrementAndGet(), THREAD_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Runs one scheduled call and records its result. */
    private final class Arrival implements Runnable {
        private final LoadPart part;
        private final PartTally tally;
        private final int number;
        private final long dueNanos;

        Arrival(LoadPart part, PartTally tally, int number, long dueNanos) {
            this.part = part;
            this.tally = tally;
            this.number = number;
            this.dueNanos = dueNanos;
        }

        @Override
        public void run() {
            String token = name + "-" + part.name() + "-" + number;
            CallResult result = caller.call(part, token, number);
            tally.count(result, number, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos));
            if (outcomes.size() < MAX_RECORDED_OUTCOMES) {
                outcomes.put(result.path(), result.outcome());
            }
        }
    }
}
