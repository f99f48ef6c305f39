package io.carawaylift.control;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Runs the decisions of a control program on a single thread. I/O runs on other threads, which pass their results to
 * this one, so no lock is held during I/O. Tasks submitted after the stop are dropped. Thread-safe.
 */
final class DecisionLoop {
    private static final Logger LOG = System.getLogger(DecisionLoop.class.getName());
    private static final long STOP_TIMEOUT_SECONDS = 5;

    private final ScheduledThreadPoolExecutor executor;

    DecisionLoop(String host) {
        executor = new ScheduledThreadPoolExecutor(
                1,
                task -> {
                    Thread thread = new Thread(task, "decisions-" + host);
                    thread.setDaemon(true);
                    return thread;
                },
                new ThreadPoolExecutor.DiscardPolicy());
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setContinueExistingPeriodicTasksAfterShutdownPolicy(false);
    }

    /** Returns the monotonic time of {@link System#nanoTime}. */
    long nowNanos() {
        return System.nanoTime();
    }

    void execute(Runnable task) {
        executor.execute(loggingFailures(task));
    }

    /** Runs a task after a delay and then repeatedly with a pause after each run; missed runs are not caught up. */
    void every(Duration pause, Duration firstDelay, Runnable task) {
        Future<?> unused = executor.scheduleWithFixedDelay(
                loggingFailures(task), firstDelay.toNanos(), pause.toNanos(), TimeUnit.NANOSECONDS);
    }

    void after(Duration delay, Runnable task) {
        Future<?> unused = executor.schedule(loggingFailures(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Calls exactly one of the two consumers on the decision thread when the future has completed. */
    <T> void whenDone(CompletableFuture<T> future, Consumer<T> value, Consumer<ResultCode> failure) {
        CompletableFuture<T> unused = future.whenComplete((result, thrown) -> execute(() -> {
            if (thrown == null) {
                value.accept(result);
            } else {
                failure.accept(codeOf(thrown));
            }
        }));
    }

    /** Calls the supplier on the decision thread and returns its result. */
    <T> CompletableFuture<T> supply(Supplier<T> supplier) {
        return CompletableFuture.supplyAsync(supplier, executor);
    }

    void stop() {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                LOG.log(Level.WARNING, "the decision thread did not stop within {0} s", STOP_TIMEOUT_SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Logs exceptions, because an exception would cancel a periodic task. */
    private static Runnable loggingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.log(Level.ERROR, "a task on the decision thread failed", e);
            }
        };
    }

    private static ResultCode codeOf(Throwable thrown) {
        Throwable cause =
                thrown instanceof CompletionException && thrown.getCause() != null ? thrown.getCause() : thrown;
        if (cause instanceof CarawayliftException coded) {
            return coded.code();
        }
        LOG.log(Level.ERROR, "a platform call failed without a result code", cause);
        return ResultCode.WRITE_UNRESOLVED;
    }
}
