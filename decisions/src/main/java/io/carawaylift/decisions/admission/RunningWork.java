package io.carawaylift.decisions.admission;

/**
 * Work that uses a slot.
 *
 * @param startNanos monotonic time at which the work started
 * @param chargedNanos slot time charged to its customer at the start, replaced by the actual time at the end
 * @param byFloor whether the work started ahead of waiting work of higher rank because of its rank's floor
 */
record RunningWork<T>(Work<T> work, CustomerQueue<T> queue, long startNanos, double chargedNanos, boolean byFloor) {}
