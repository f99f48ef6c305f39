package io.carawaylift.decisions.ownership;

import io.carawaylift.model.EntryProcess;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Tracks for how long reads of {@code domain/} have shown an unchanged heartbeat number of each process. */
final class HeartbeatTracker {
    /**
     * Successive reads with the same heartbeat number.
     *
     * @param firstFinishedNanos when the first response arrived
     * @param lastStartedNanos when the newest read was sent
     */
    private record UnchangedReads(long heartbeat, long firstFinishedNanos, long lastStartedNanos) {}

    private final Map<EntryProcess, UnchangedReads> processes = new HashMap<>();

    void read(EntryProcess process, long heartbeat, long startedNanos, long finishedNanos) {
        UnchangedReads before = processes.get(process);
        if (before == null || before.heartbeat() != heartbeat) {
            processes.put(process, new UnchangedReads(heartbeat, finishedNanos, startedNanos));
        } else {
            long lastStarted = Math.max(before.lastStartedNanos(), startedNanos);
            processes.put(process, new UnchangedReads(heartbeat, before.firstFinishedNanos(), lastStarted));
        }
    }

    /** Returns whether the newest heartbeat number was seen by two reads that are at least {@code nanos} apart. */
    boolean isUnchangedFor(EntryProcess process, long nanos) {
        UnchangedReads unchanged = processes.get(process);
        return unchanged != null && unchanged.lastStartedNanos() - unchanged.firstFinishedNanos() >= nanos;
    }

    /** Removes processes that are not in {@code kept}. */
    void retain(Set<EntryProcess> kept) {
        processes.keySet().retainAll(kept);
    }
}
