package io.carawaylift.testing.measure;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/** Measures processor time of the current thread and heap retained by a value. */
final class CpuTimer {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final long WARM_UP_NANOS = 300_000_000L;
    private static final long MEASURE_NANOS = 500_000_000L;

    private CpuTimer() {}

    /** Returns processor time per call in microseconds; {@code action} gets a number that rises with each call. */
    static double microsPerCall(IntConsumer action) {
        int number = 0;
        long warmUpStart = THREADS.getCurrentThreadCpuTime();
        while (THREADS.getCurrentThreadCpuTime() - warmUpStart < WARM_UP_NANOS) {
            action.accept(++number);
        }
        int first = number;
        long start = THREADS.getCurrentThreadCpuTime();
        long used = 0;
        while (used < MEASURE_NANOS) {
            action.accept(++number);
            used = THREADS.getCurrentThreadCpuTime() - start;
        }
        return used / 1_000.0 / (number - first);
    }

    /** Returns the heap that a new value keeps, in KiB, from the difference of two readings after a collection. */
    static double retainedHeapKib(Supplier<Object> value) {
        long before = usedHeap();
        Object retained = value.get();
        long after = usedHeap();
        if (retained.hashCode() == 0) {
            return 0;
        }
        return Math.max(0, after - before) / 1_024.0;
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
