package io.carawaylift.host;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** The event loop that owns all state of the program. Every fault in a task is logged. */
@SuppressWarnings("FutureReturnValueIgnored") // the tasks report their own faults
final class HostLoop {
    private final EventLoop loop;
    private final EventLog log;

    HostLoop(EventLoop loop, EventLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** A task that will run once. */
    interface Timer {
        /** Prevents the task if it has not run. */
        void cancel();
    }

    EventLoop netty() {
        return loop;
    }

    /** Runs a task after what is being done now. */
    void execute(Runnable task) {
        loop.execute(logFaults(task));
    }

    /** Runs a task once after a delay in milliseconds. */
    Timer after(long millis, Runnable task) {
        Future<?> scheduled = loop.schedule(logFaults(task), Math.max(0, millis), TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }

    /** Runs a task again and again with a pause in milliseconds between two runs. */
    void every(long millis, Runnable task) {
        loop.scheduleWithFixedDelay(logFaults(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task and waits for its end; called from other threads. */
    void runAndWait(Runnable task) {
        CompletableFuture.runAsync(task, loop).join();
    }

    /** Handles the result of a future. */
    <T> void handle(CompletableFuture<T> future, BiConsumer<T, Throwable> handler) {
        future.whenComplete((value, failure) ->
                logFaults(() -> handler.accept(value, failure)).run());
    }

    private Runnable logFaults(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                logFault(e);
            }
        };
    }

    /** Logs a fault of the program itself. */
    void logFault(Throwable fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        log.event(
                "fault",
                line -> line.put("error", String.valueOf(fault))
                        .put("at", trace.length == 0 ? "" : trace[0].toString()));
    }
}
