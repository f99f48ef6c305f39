package io.carawaylift.testing.measure;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/** Measures the processor time of the current thread and the heap that a value retains. */
final class CpuTimer {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final long WARM_UP_NANOS = 300_000_000L;
    private static final long MEASURE_NANOS = 500_000_000L;

    private CpuTimer() {}

    /** Returns the processor time per call in microseconds; {@code action} receives the number of the call, from 1. */
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

    /**
     * Returns the heap in KiB that a new value retains: the difference of the used heap before and after its creation, each
     * read after garbage collection.
     */
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
