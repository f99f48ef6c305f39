package io.carawaylift.host;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** The event loop that owns all state of the program. Logs every exception that a task throws. */
@SuppressWarnings("FutureReturnValueIgnored") // the tasks log their own exceptions
final class HostLoop {
    private final EventLoop loop;
    private final EventLog log;

    HostLoop(EventLoop loop, EventLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task if it has not run. */
        void cancel();
    }

    EventLoop netty() {
        return loop;
    }

    /** Queues a task on the event loop. Thread-safe. */
    void execute(Runnable task) {
        loop.execute(logFaults(task));
    }

    /** Runs a task once after a delay in milliseconds. */
    Timer after(long millis, Runnable task) {
        Future<?> scheduled = loop.schedule(logFaults(task), Math.max(0, millis), TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }

    /** Runs a task repeatedly with a fixed delay in milliseconds between runs, first after that delay. */
    void every(long millis, Runnable task) {
        loop.scheduleWithFixedDelay(logFaults(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task on the event loop and waits until it completes. Must be called from another thread. */
    void runAndWait(Runnable task) {
        start(task).join();
    }

    /** Queues a task on the event loop; the future completes after it, exceptionally if it throws. Thread-safe. */
    CompletableFuture<Void> start(Runnable task) {
        return CompletableFuture.runAsync(task, loop);
    }

    /** Calls a handler when a future completes and logs what the handler throws. */
    <T> void handle(CompletableFuture<T> future, BiConsumer<T, Throwable> handler) {
        future.whenComplete((value, failure) ->
                logFaults(() -> handler.accept(value, failure)).run());
    }

    private Runnable logFaults(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                // Also errors: one request that exhausts a limit must not end a periodic task for good.
                logFault(e);
            }
        };
    }

    /** Logs an unexpected exception of the program itself. */
    void logFault(Throwable fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        log.event(
                "fault",
                line -> line.put("error", String.valueOf(fault))
                        .put("at", trace.length == 0 ? "" : trace[0].toString()));
    }
}
