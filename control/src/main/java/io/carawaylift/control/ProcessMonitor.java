package io.carawaylift.control;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.peer.Message;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;

/**
 * Detects that entry processes of this host have terminated and notifies agents, reporter and successors until no
 * record references the process. Used on the decision thread only.
 */
final class ProcessMonitor {
    private static final Logger LOG = System.getLogger(ProcessMonitor.class.getName());
    /** Minimum number of reports of one process; agents may not yet have a record that references it. */
    private static final int MIN_REPORTS = 10;

    private final ControlState state;
    private final HeartbeatRelay heartbeatRelay;
    private final LongFunction<BooleanSupplier> processLiveness;
    private final Map<EntryProcess, BooleanSupplier> liveness = new LinkedHashMap<>();
    private final Map<EntryProcess, Integer> reportCounts = new HashMap<>();

    ProcessMonitor(ControlState state, HeartbeatRelay heartbeatRelay, LongFunction<BooleanSupplier> processLiveness) {
        this.state = state;
        this.heartbeatRelay = heartbeatRelay;
        this.processLiveness = processLiveness;
    }

    /** Starts to monitor an entry process of this host. */
    void watch(EntryProcess process, long processId) {
        liveness.put(process, processLiveness.apply(processId));
    }

    /** Checks all processes and reports those that terminated; called once per heartbeat interval. */
    void tick() {
        Map<EntryProcess, BooleanSupplier> watched = new LinkedHashMap<>(liveness);
        watched.forEach((process, alive) -> {
            if (!alive.getAsBoolean()) {
                liveness.remove(process);
                processEnded(process);
            }
        });
        reportCounts.replaceAll((process, count) -> count + 1);
        reportCounts.entrySet().removeIf(entry -> entry.getValue() > MIN_REPORTS && !isReferenced(entry.getKey()));
        reportCounts.keySet().forEach(this::sendReport);
    }

    private void processEnded(EntryProcess process) {
        LOG.log(Level.INFO, "entry process {0} has terminated", process);
        reportCounts.put(process, 0);
        heartbeatRelay.processEnded(process);
        state.members().processEnded(state.host().failureDomain(), process);
    }

    private void sendReport(EntryProcess process) {
        long now = state.loop().nowNanos();
        String domain = state.host().failureDomain();
        Set<String> hosts = new HashSet<>(state.members().agents(domain, now));
        state.members().reporter(domain, now).ifPresent(hosts::add);
        hosts.addAll(heartbeatRelay.successorsOf(process));
        hosts.remove(state.host().id());
        hosts.forEach(host -> state.peers().send(host, new Message.ProcessEnded(process)));
    }

    private boolean isReferenced(EntryProcess process) {
        return state.records().regionOwners().values().stream()
                .anyMatch(owners -> references(owners.record(), process));
    }

    private static boolean references(OwnersRecord record, EntryProcess process) {
        for (Ownership ownership : record.endpoints()) {
            if (process.equals(ownership.owner()) || process.equals(ownership.previous())) {
                return true;
            }
        }
        return record.members().stream().anyMatch(member -> member.process().equals(process));
    }
}
