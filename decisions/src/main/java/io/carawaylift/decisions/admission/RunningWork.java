package io.carawaylift.decisions.admission;

/**
 * Work that holds a slot.
 *
 * @param startNanos monotonic time of its start
 * @param chargedNanos slot time charged to its customer at the start, corrected at the end
 * @param byFloor whether it started ahead of waiting work of higher rank
 */
record RunningWork<T>(Work<T> work, CustomerQueue<T> queue, long startNanos, double chargedNanos, boolean byFloor) {}
